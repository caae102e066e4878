package org.plantainspur.adapters.http;

import java.util.Comparator;
import java.util.List;

import jakarta.inject.Inject;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.StandardRequestPipeline;

/**
 * Tells callers which hosts to use.
 */
@Path("/.plantainspur/locate")
public final class LocateResource {

	/** How long callers may keep the answer, in milliseconds. */
	public static final long LIFETIME_MILLIS = 5000;

	private final ConfigurationView view;

	private final HostAssignment homeHosts;

	private final IdempotencyRegistry onceGate;

	private final Member self;

	private final StopSignal stopSignal;

	/**
	 * Creates the resource.
	 * @param view the configuration in force
	 * @param homeHosts assigns accounts to hosts
	 * @param onceGate mints dispatch tokens
	 * @param self this host
	 * @param stopSignal whether this host is about to stop
	 */
	@Inject
	public LocateResource(ConfigurationView view, HostAssignment homeHosts, IdempotencyRegistry onceGate, Member self,
			StopSignal stopSignal) {
		this.view = view;
		this.homeHosts = homeHosts;
		this.onceGate = onceGate;
		this.self = self;
		this.stopSignal = stopSignal;
	}

	@GET
	@Produces(MediaType.APPLICATION_JSON)
	public Response locate(@HeaderParam(Headers.API_KEY) @Nullable String key,
			@QueryParam("region") @Nullable String region) {
		LocateAnswer answer = answer((key != null) ? KeyHash.of(key) : null, region);
		if (answer == null) {
			return Response.status(Problem.Code.KEY_NOT_VALID.status())
				.type(ProblemDocument.MEDIA_TYPE)
				.entity(ProblemDocument.encode(Problem.notRun(Problem.Code.KEY_NOT_VALID,
						"the key in " + Headers.API_KEY + " is unknown or withdrawn")))
				.build();
		}
		return Response.ok(answer).build();
	}

	@Nullable LocateAnswer answer(@Nullable String keyHash, @Nullable String region) {
		Configuration configuration = this.view.current();
		ClientAccount account = (keyHash != null) ? configuration.accountOfKey(keyHash)
				: StandardRequestPipeline.OPEN_ACCOUNT;
		if (account == null) {
			return null;
		}
		List<Located> hosts = usable(account, configuration.membership()).stream()
			.sorted(Comparator.comparing((member) -> !member.region().equals(region)))
			.map(Located::of)
			.toList();
		String token = this.stopSignal.stopping() ? "" : this.onceGate.issueToken(account.id());
		return new LocateAnswer(hosts, LIFETIME_MILLIS, token);
	}

	// A host knows of its own stop before its resignation is in force everywhere.
	private List<Member> usable(ClientAccount account, Membership membership) {
		List<Member> homes = withoutStopping(this.homeHosts.homeHosts(account, membership));
		return homes.isEmpty() ? withoutStopping(membership.active()) : homes;
	}

	private List<Member> withoutStopping(List<Member> members) {
		return members.stream()
			.filter((member) -> !member.resigned())
			.filter((member) -> !(this.stopSignal.stopping() && member.hostId().equals(this.self.hostId())))
			.toList();
	}

	/**
	 * The answer.
	 *
	 * @param hosts the hosts to use, the most preferred first
	 * @param lifetimeMillis how long the answer may be kept, in milliseconds
	 * @param dispatchToken the prefix of the caller's idempotency keys, empty if this
	 * host is about to stop; the hosts named give one
	 */
	public record LocateAnswer(List<Located> hosts, long lifetimeMillis, String dispatchToken) {
	}

	/**
	 * A host to use.
	 *
	 * @param host the host's name
	 * @param address {@code ip:port}
	 * @param region the region
	 */
	public record Located(String host, String address, String region) {

		static Located of(Member member) {
			return new Located(member.hostId(), member.callerAddress(), member.region());
		}

	}

}

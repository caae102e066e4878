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
import org.plantainspur.core.idempotency.TokenReadiness;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.StandardRequestPipeline;

/**
 * Tells a caller which hosts to send its requests to, and gives it a dispatch token.
 */
@Path("/.plantainspur/locate")
public final class LocateResource {

	/** Time for which callers may cache the answer, in milliseconds. */
	public static final long LIFETIME_MILLIS = 5000;

	private final ConfigurationView view;

	private final HostAssignment hostAssignment;

	private final IdempotencyRegistry idempotencyRegistry;

	private final TokenReadiness tokenReadiness;

	private final Member self;

	private final ShutdownSignal shutdownSignal;

	/**
	 * Creates the resource.
	 * @param view the configuration in force
	 * @param hostAssignment chooses the home hosts of each client account
	 * @param idempotencyRegistry issues dispatch tokens
	 * @param tokenReadiness whether callers may get tokens of this process
	 * @param self the member entry of this host
	 * @param shutdownSignal whether this host is about to stop
	 */
	@Inject
	public LocateResource(ConfigurationView view, HostAssignment hostAssignment,
			IdempotencyRegistry idempotencyRegistry, TokenReadiness tokenReadiness, Member self,
			ShutdownSignal shutdownSignal) {
		this.view = view;
		this.hostAssignment = hostAssignment;
		this.idempotencyRegistry = idempotencyRegistry;
		this.tokenReadiness = tokenReadiness;
		this.self = self;
		this.shutdownSignal = shutdownSignal;
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

	/**
	 * Returns the hosts and a dispatch token for a caller.
	 * @param keyHash the hash of the caller's API key, {@code null} if it sent none
	 * @param region the region whose hosts come first, {@code null} for no preference
	 * @return the answer, {@code null} if the key is unknown or withdrawn
	 */
	@Nullable LocateAnswer answer(@Nullable String keyHash, @Nullable String region) {
		Configuration configuration = this.view.current();
		ClientAccount account = (keyHash != null) ? configuration.accountOfKey(keyHash)
				: StandardRequestPipeline.OPEN_ACCOUNT;
		if (account == null) {
			return null;
		}
		List<LocatedHost> hosts = usableHosts(account, configuration.membership()).stream()
			.sorted(Comparator.comparing((member) -> !member.region().equals(region)))
			.map(LocatedHost::of)
			.toList();
		boolean issue = !this.shutdownSignal.stopping() && this.tokenReadiness.mayIssue();
		String token = issue ? this.idempotencyRegistry.issueToken(account.id()) : "";
		return new LocateAnswer(hosts, LIFETIME_MILLIS, token);
	}

	// Returns the account's home hosts, or all active hosts if each home host is
	// stopping. The shutdown signal excludes this host as soon as it begins to stop,
	// which is before its resignation is applied to the configuration.
	private List<Member> usableHosts(ClientAccount account, Membership membership) {
		List<Member> homeHosts = withoutStoppingHosts(this.hostAssignment.homeHosts(account, membership));
		return homeHosts.isEmpty() ? withoutStoppingHosts(membership.active()) : homeHosts;
	}

	private List<Member> withoutStoppingHosts(List<Member> members) {
		return members.stream()
			.filter((member) -> !member.resigned())
			.filter((member) -> !(this.shutdownSignal.stopping() && member.hostId().equals(this.self.hostId())))
			.toList();
	}

	/**
	 * The answer, sent as JSON.
	 *
	 * @param hosts the hosts to use, those of the caller's region first
	 * @param lifetimeMillis how long the answer may be cached, in milliseconds
	 * @param dispatchToken the prefix of the caller's idempotency keys; empty if this
	 * host is about to stop or has just started, in which case the caller asks one of
	 * {@code hosts} for a token
	 */
	public record LocateAnswer(List<LocatedHost> hosts, long lifetimeMillis, String dispatchToken) {
	}

	/**
	 * A host that accepts the caller's requests.
	 *
	 * @param host the host id
	 * @param address the address for callers as {@code ip:port}
	 * @param region the region that the host is in
	 */
	public record LocatedHost(String host, String address, String region) {

		static LocatedHost of(Member member) {
			return new LocatedHost(member.hostId(), member.callerAddress(), member.region());
		}

	}

}

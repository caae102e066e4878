package org.plantainspur.benchmarks.path;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

import org.plantainspur.benchmarks.slope.SyntheticFleet;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.currency.QuorumCurrencyRule;
import org.plantainspur.core.health.CompositeOutcomeRecorder;
import org.plantainspur.core.health.CrashQuarantine;
import org.plantainspur.core.health.EvidenceCollector;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.health.LocalWeights;
import org.plantainspur.core.idempotency.LocalIdempotencyRegistry;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.rate.RateLimiter;
import org.plantainspur.core.rate.SharedRateLimiter;
import org.plantainspur.core.request.BudgetedRetryPolicy;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.request.StandardRequestPipeline;
import org.plantainspur.core.routing.AdaptiveLimits;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.FairAdmissionQueue;
import org.plantainspur.core.routing.RouteTable;
import org.plantainspur.core.routing.SharedCapacityLimit;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.routing.TargetDirectory;
import org.plantainspur.core.routing.TargetLoadSheddingDetector;
import org.plantainspur.core.routing.WeightedTwoChoiceChooser;
import org.plantainspur.core.time.Clock;

/**
 * Benchmarks of each decision on the path of a request, and of the whole path with a
 * dispatcher that responds immediately, at the size of the fleet today and the expected
 * size in two years.
 */
@State(Scope.Benchmark)
public class RequestPath {

	/** Number of prepared requests, keys and accounts that the benchmarks pick from. */
	private static final int REQUEST_COUNT = 1024;

	private static final Set<String> NO_EXCLUSIONS = Set.of();

	/** The size of the fleet: {@code today} or {@code two-years}. */
	@Param({ "today", "two-years" })
	public String size = "";

	private final Clock clock = Clock.system();

	private final ConfigurationView view = new ConfigurationView();

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.empty());

	private final HealthView health = new HealthView(this.clock);

	private final AdaptiveLimits limits = new AdaptiveLimits(this.clock);

	private final Member self = SyntheticFleet.TODAY.memberList().get(0);

	private final QuorumCurrencyRule currency = new QuorumCurrencyRule(this.clock, this.self, "pdx");

	private final FairAdmissionQueue admission = new FairAdmissionQueue(this.clock,
			new SharedCapacityLimit(this.clock, this.directory, this.view, this.health));

	private RouteTable table = RouteTable.of(this.view.current());

	private RateLimiter limiter = (account, deadline) -> new RateLimiter.RateDecision.Granted();

	private TargetChooser chooser = (service, excluded) -> null;

	private StandardRequestPipeline pipeline = pipeline();

	private List<CallerRequest> requests = List.of();

	private List<ClientAccount> accounts = List.of();

	private List<String> keys = List.of();

	/**
	 * Builds the decision objects of one host and checks that every request is served.
	 */
	@Setup
	public void setUp() {
		SyntheticFleet fleet = this.size.equals("today") ? SyntheticFleet.TODAY : SyntheticFleet.IN_TWO_YEARS;
		this.view.advance(fleet.configuration());
		this.directory.set(TargetDirectory.of(fleet.targets()));
		// The currency stays proven for longer than a run, so that no background thread
		// has to renew it.
		this.currency.update(this.view.current(), this.clock.millis() + 100_000_000, java.util.Map.of());
		this.table = RouteTable.of(this.view.current());
		this.limiter = SharedRateLimiter.builder(this.self)
			.clock(this.clock)
			.view(this.view)
			.currency(this.currency)
			.link((member, message, timeout) -> CompletableFuture.completedFuture(new PeerMessage.Lent(1_000_000_000)))
			.homeHosts(new RendezvousHostAssignment())
			.progress((holder, sequence) -> true)
			.build();
		this.chooser = WeightedTwoChoiceChooser.builder("pdx", this.clock)
			.directory(this.directory)
			.view(this.view)
			.health(this.health)
			.limits(this.limits)
			.build();
		this.pipeline = pipeline();
		this.keys = IntStream.range(0, REQUEST_COUNT)
			.mapToObj((i) -> SyntheticFleet.key(i % fleet.accounts()))
			.toList();
		this.accounts = IntStream.range(0, REQUEST_COUNT)
			.mapToObj((i) -> Objects
				.requireNonNull(this.view.current().account(SyntheticFleet.account(i % fleet.accounts()))))
			.toList();
		this.requests = IntStream.range(0, REQUEST_COUNT)
			.mapToObj((i) -> request(i % fleet.accounts(), i * 31 % fleet.routes()))
			.toList();
		verifyRequestsAreAnswered();
	}

	// Sends every request twice. The first round creates the state of each account, and
	// its requests may be refused.
	private void verifyRequestsAreAnswered() {
		for (int i = 0; i < 2 * REQUEST_COUNT; i++) {
			CallerAnswer answer = this.pipeline.serve(this.requests.get(i % REQUEST_COUNT));
			if (i >= REQUEST_COUNT && !(answer instanceof CallerAnswer.Answered)) {
				throw new IllegalStateException("request " + i + " was refused: " + answer);
			}
		}
	}

	private StandardRequestPipeline pipeline() {
		CrashQuarantine quarantine = new CrashQuarantine(this.clock, (suspect) -> {
		});
		return StandardRequestPipeline.builder()
			.clock(this.clock)
			.view(this.view)
			.currency(this.currency)
			.idempotencyRegistry(LocalIdempotencyRegistry.builder(this.self.hostId(), this.self.processId())
				.clock(this.clock)
				.build())
			.relay((host, process, request, deadline) -> Problem.notRun(Problem.Code.NO_CAPACITY, "not used")
				.toRefusal())
			.rateLimiter(this.limiter)
			.admissionQueue(this.admission)
			.chooser(this.chooser)
			.dispatcher((target, request, idempotent, timeout) -> new DispatchOutcome.Answered(200, Headers.empty(),
					new byte[0]))
			.retryPolicy(new BudgetedRetryPolicy(new TargetLoadSheddingDetector(this.directory, this.limits)))
			.recorder(new CompositeOutcomeRecorder(quarantine,
					new EvidenceCollector(this.clock, quarantine, this.limits::inFlight), new LocalWeights(this.clock),
					this.limits))
			.quarantine(quarantine)
			.build();
	}

	private CallerRequest request(int account, int route) {
		Headers headers = Headers.empty()
			.with("Host", "127.0.0.1:8080")
			.with("User-Agent", "benchmark")
			.with("Accept", "application/json")
			.with("Accept-Encoding", "gzip")
			.with("Connection", "keep-alive");
		return new CallerRequest("GET", "/v1/area-" + route + "/items/" + account, "", headers, new byte[0],
				KeyHash.of(SyntheticFleet.key(account)), this.clock.millis() + 1_000_000_000);
	}

	private static <T> T randomElement(List<T> list) {
		return list.get(ThreadLocalRandom.current().nextInt(REQUEST_COUNT));
	}

	/**
	 * Matches the route of a request.
	 * @return the matching route, or null if there is none
	 */
	@Benchmark
	public @Nullable Route routeMatch() {
		CallerRequest request = randomElement(this.requests);
		return this.table.match(request.method(), request.path());
	}

	/**
	 * Hashes a key and looks up its account.
	 * @return the account, or null if the key is unknown
	 */
	@Benchmark
	public @Nullable ClientAccount keyLookup() {
		return this.view.current().accountOfKey(KeyHash.of(randomElement(this.keys)));
	}

	/**
	 * Checks whether the configuration is current.
	 * @return the result of the check
	 */
	@Benchmark
	public CurrencyRule.Currency currencyCheck() {
		return this.currency.check();
	}

	/**
	 * Takes a token from the rate limiter of an account.
	 * @return the rate decision
	 */
	@Benchmark
	public RateLimiter.RateDecision rateToken() {
		return this.limiter.acquire(randomElement(this.accounts), this.clock.millis());
	}

	/**
	 * Chooses a target and closes its lease.
	 * @return the closed lease
	 */
	@Benchmark
	public TargetChooser.TargetLease chooseTarget() {
		TargetChooser.TargetLease lease = Objects
			.requireNonNull(this.chooser.choose(SyntheticFleet.service(0), NO_EXCLUSIONS));
		lease.close();
		return lease;
	}

	/**
	 * Admits a request and closes its permit.
	 * @return the admission decision
	 */
	@Benchmark
	public AdmissionQueue.Admission admit() {
		AdmissionQueue.Admission admitted = this.admission.admit(SyntheticFleet.service(0), this.accounts.get(0),
				this.clock.millis() + 1000);
		((AdmissionQueue.Admission.Admitted) admitted).permit().close();
		return admitted;
	}

	/**
	 * Serves an idempotent request with the whole pipeline.
	 * @return the response to the caller
	 */
	@Benchmark
	public CallerAnswer wholePath() {
		return this.pipeline.serve(randomElement(this.requests));
	}

}

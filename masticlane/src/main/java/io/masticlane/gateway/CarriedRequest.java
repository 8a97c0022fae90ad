package io.masticlane.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.masticlane.client.AnswerListener;
import io.masticlane.client.ClientCall;
import io.masticlane.placement.Placement;
import io.masticlane.placement.Rendezvous;
import io.masticlane.placement.ServerState;
import io.masticlane.plan.Entitlement;
import io.masticlane.plan.OrganisationPlan;
import io.masticlane.plan.PathRoute;
import io.masticlane.plan.ServicePlan;
import io.masticlane.plan.TrafficPlan;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * One attempt of a caller on its way: checked, sent to a backend server, sent again where
 * that cannot run it twice, and answered once.
 */
final class CarriedRequest {

	private static final String NO_ROUTE = "-";

	private static final int UNPROCESSABLE = 500;

	/**
	 * The shortest time in which a backend server can do anything, in milliseconds.
	 */
	private static final long SHORTEST_ATTEMPT_MILLIS = 20;

	/**
	 * How long before the caller's own timeout an answer is given up, in milliseconds:
	 * the way back to the caller.
	 */
	private static final long WAY_BACK_MILLIS = 5;

	/**
	 * The servers that a request may try to connect to.
	 */
	private static final int CONNECT_TRIES = 3;

	/**
	 * How long a connection may have been idle for a request that runs once; a server
	 * that forgets idle connections would lose it.
	 */
	private static final long FRESH_IDLE_MILLIS = 1_500;

	private static final long REPEATABLE_IDLE_MILLIS = 5_000;

	/**
	 * How long a request that runs once may still end at its server after it was given
	 * up, in milliseconds.
	 */
	private static final long LAST_ANSWER_MILLIS = 5_000;

	/**
	 * When a caller returns after a refusal that no load explains, in milliseconds.
	 */
	private static final double SOON_MILLIS = 300;

	private final Traffic traffic;

	private final CallerHandler caller;

	private final FullHttpRequest request;

	private final long arrivedAt = System.nanoTime();

	private final Set<String> tried = new HashSet<>();

	private final Set<String> sentTo = new HashSet<>();

	private RequestEvents events;

	private TrafficPlan plan;

	private PathRoute route;

	private String path;

	private Dialect.CallerRequest described;

	private Optional<OrganisationPlan> organisation = Optional.empty();

	private Placement.Request wanted;

	private Placement.Choice choice;

	private ClientCall call;

	private ScheduledFuture<?> timer;

	private long sentAt;

	private int connectTries;

	private boolean mayHaveRun;

	private boolean tokenTaken;

	private boolean attemptOpen;

	private boolean finished;

	CarriedRequest(Traffic traffic, CallerHandler caller, FullHttpRequest request) {
		this.traffic = traffic;
		this.caller = caller;
		this.request = request.retain();
	}

	void start() {
		this.traffic.began();
		this.plan = this.traffic.plan();
		this.described = this.traffic.dialect().request(this.request.headers());
		this.events = new RequestEvents(this.traffic.events(), this.described.id(), this.plan.version(),
				this.arrivedAt);
		if (this.plan.version() == TrafficPlan.NO_VERSION) {
			refuse("no_plan", HttpResponseStatus.SERVICE_UNAVAILABLE, 0, 0, SOON_MILLIS);
			return;
		}
		Optional<RequestTarget> target = RequestTarget.read(this.request);
		if (target.isEmpty()) {
			reject("malformed", HttpResponseStatus.BAD_REQUEST);
			return;
		}
		this.path = target.get().target();
		this.route = this.plan.route(target.get().host(), target.get().path()).orElse(null);
		if (this.route == null) {
			reject("no_route", HttpResponseStatus.NOT_FOUND);
			return;
		}
		this.events.route(this.route.name());
		if (this.plan.keyed()) {
			this.organisation = this.described.key().flatMap(this.plan::holder);
			if (this.organisation.isEmpty() && !this.route.open()) {
				reject("unknown_key", HttpResponseStatus.UNAUTHORIZED);
				return;
			}
		}
		admit();
	}

	void callerLeft() {
		if (this.finished) {
			return;
		}
		boolean cancelled = this.route == null || this.route.repeatable() || !this.attemptOpen || !this.call.written();
		this.events.abandoned(serverName(), cancelled);
		finish("abandoned");
		if (!cancelled) {
			this.traffic.loop().schedule(this::abandonAttempt, LAST_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
		}
		if (cancelled && this.attemptOpen) {
			endAttempt();
			this.call.cancel();
		}
	}

	private void admit() {
		if (this.organisation.isPresent()) {
			long wait = this.traffic.shares().take(this.organisation.get().name());
			if (wait > 0) {
				overRate(this.organisation.get(), Math.max(wait, SOON_MILLIS));
				return;
			}
			this.tokenTaken = true;
		}
		String service = this.traffic.splits().service(this.route);
		this.traffic.retries(service).requested();
		Set<String> homes = new Entitlement(this.route, this.organisation).homes();
		long draw = Rendezvous.hash(this.described.id());
		long object = this.route.sticky() ? this.described.object().map(Rendezvous::hash).orElse(draw) : draw;
		this.wanted = new Placement.Request(this.route, service, object, draw, homes, Set.of(),
				this.route.objectiveMillis(),
				this.plan.service(service).map(ServicePlan::coldRequestsPerSecond).orElse(0.0),
				this.traffic.gatewaysOfRegion());
		this.timer = this.traffic.loop().schedule(this::timedOut, Math.max(1, left()), TimeUnit.MILLISECONDS);
		attempt();
	}

	private void attempt() {
		if (left() < SHORTEST_ATTEMPT_MILLIS) {
			giveUp("no_time_left", 0, 0, SOON_MILLIS);
			return;
		}
		long now = System.nanoTime();
		Optional<Placement.Choice> found = this.traffic.placement().choose(this.wanted.withExcluded(this.tried), now);
		if (found.isEmpty()) {
			giveUp("no_server", 0, 0, SOON_MILLIS);
			return;
		}
		Placement.Choice chosen = found.get();
		boolean crowded = this.traffic.placement().crowded(this.wanted.service(), chosen.server().region());
		double latest = this.traffic.admission()
			.latest(this.route.objectiveMillis() - age(), left(),
					new Entitlement(this.route, this.organisation).priority(), crowded);
		double expected = crowded ? chosen.warmMillis() : chosen.expectedMillis();
		if (expected > latest && !chosen.free()) {
			this.traffic.regionFlow().refused(chosen.server().region());
			giveUp(crowded ? "crowded" : "load", expected, latest,
					this.traffic.admission().returnAfter(expected - latest));
			return;
		}
		send(chosen, now);
	}

	private void send(Placement.Choice chosen, long now) {
		this.choice = chosen;
		ServerState server = chosen.server();
		FullHttpRequest forwarded = ForwardedRequest.of(this.request, this.path, this.traffic.dialect(),
				new Dialect.Forwarding(server.entry().id(), Math.max(1, left()),
						this.organisation.map(OrganisationPlan::name)));
		this.tried.add(server.entry().id());
		this.connectTries++;
		server.sent(now);
		this.traffic.regionFlow().sent(chosen);
		this.traffic.metrics().sent(this.wanted.service(), chosen);
		this.sentAt = now;
		this.attemptOpen = true;
		this.call = this.traffic.servers()
			.call(server.entry().address(), forwarded,
					this.route.repeatable() ? REPEATABLE_IDLE_MILLIS : FRESH_IDLE_MILLIS, new Attempt(server));
	}

	private void answered(ServerState server, FullHttpResponse answer, Dialect.ServerAnswer told) {
		long now = System.nanoTime();
		boolean full = server.load(now) >= server.entry().slots();
		endAttempt();
		if (told.load() >= 0) {
			server.reported(told.load(), now);
		}
		if (told.notRun()) {
			boolean misdirected = answer.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
			if (misdirected) {
				server.gone(now);
				this.events.ejected(server, "another server has its address");
			}
			else if (!full) {
				server.answered(this.wanted.object(), false, this.sentAt, now);
			}
			this.events.attemptFailed(server, this.tried.size(), "not_run", answer.status().toString());
			this.traffic.metrics().attempt("not_run");
			if (!this.finished) {
				again("shed", misdirected || this.traffic.retries(this.wanted.service()).take());
			}
			return;
		}
		this.sentTo.add(server.entry().id());
		this.mayHaveRun = true;
		boolean success = answer.status().codeClass() == HttpStatusClass.SUCCESS;
		if (told.encoded() || told.id().isEmpty() || success && !told.signed()) {
			server.failed(now);
			this.events.attemptFailed(server, this.tried.size(), "untrusted", answer.status().toString());
			lost("untrusted_answer");
			return;
		}
		server.answered(this.wanted.object(), success || answer.status().code() < UNPROCESSABLE, this.sentAt, now);
		if (success && this.choice.free()) {
			this.traffic.placement()
				.times(this.route)
				.measured((now - this.sentAt) / (double) TimeUnit.MILLISECONDS.toNanos(1), this.choice.warm());
		}
		this.traffic.metrics().attempt(success ? "served" : "failed");
		if (this.finished) {
			return;
		}
		if (answer.status().code() >= UNPROCESSABLE && this.route.repeatable() && canRepeat()) {
			this.events.attemptFailed(server, this.tried.size(), "server_error", answer.status().toString());
			attempt();
			return;
		}
		deliver(server, answer, success);
	}

	private void deliver(ServerState server, FullHttpResponse answer, boolean success) {
		boolean promise = Set.of(408, 421, 429, 503).contains(answer.status().code());
		if (promise) {
			fail("server_status", HttpResponseStatus.BAD_GATEWAY);
			return;
		}
		if (success) {
			if (this.traffic.sampled()) {
				this.events.served(answer.status().code(), this.tried.size(), this.choice);
			}
		}
		else {
			this.events.failed("server", answer.status().code(), server.entry().id(), this.tried.size());
		}
		finish(success ? "served" : "server_error");
		this.caller.deliver(answer);
	}

	private void attemptLost(ServerState server, AnswerListener.Failure failure, String detail) {
		long now = System.nanoTime();
		endAttempt();
		this.traffic.metrics().attempt(failure.name());
		this.events.attemptFailed(server, this.tried.size(), failure.name(), detail);
		if (failure == AnswerListener.Failure.NOT_SENT) {
			server.unreachable(now);
			this.events.ejected(server, detail);
			this.traffic.servers().forget(server.entry().address());
			if (!this.finished) {
				again("unreachable", this.connectTries < CONNECT_TRIES);
			}
			return;
		}
		server.failed(now);
		this.sentTo.add(server.entry().id());
		this.mayHaveRun = true;
		lost(failure.name());
	}

	private void lost(String reason) {
		if (this.finished) {
			return;
		}
		if (this.route.repeatable() && canRepeat()) {
			attempt();
			return;
		}
		fail(reason, HttpResponseStatus.BAD_GATEWAY);
	}

	private boolean canRepeat() {
		return this.sentTo.size() < this.route.maximumServers()
				&& left() > this.traffic.placement().times(this.route).expected(true)
				&& this.traffic.retries(this.wanted.service()).take();
	}

	private void again(String reason, boolean allowed) {
		if (allowed && this.tried.size() < Math.max(this.route.maximumServers(), CONNECT_TRIES)) {
			attempt();
		}
		else {
			giveUp(reason, 0, 0, SOON_MILLIS);
		}
	}

	private void giveUp(String reason, double expected, double latest, double returnMillis) {
		if (this.mayHaveRun) {
			fail(reason, HttpResponseStatus.BAD_GATEWAY);
		}
		else {
			refuse(reason, HttpResponseStatus.SERVICE_UNAVAILABLE, expected, latest, returnMillis);
		}
	}

	private void timedOut() {
		if (this.finished) {
			return;
		}
		boolean sent = this.mayHaveRun || this.attemptOpen && this.call.written();
		if (this.attemptOpen) {
			ServerState silent = this.choice.server();
			silent.silent(this.sentAt, System.nanoTime());
			this.traffic.servers().forget(silent.entry().address());
			if (this.route.repeatable() || !this.call.written()) {
				endAttempt();
				this.call.cancel();
			}
			else {
				this.traffic.loop().schedule(this::abandonAttempt, LAST_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
			}
		}
		if (sent) {
			fail("timeout", HttpResponseStatus.GATEWAY_TIMEOUT);
		}
		else {
			refuse("connect_timeout", HttpResponseStatus.SERVICE_UNAVAILABLE, 0, 0, SOON_MILLIS);
		}
	}

	/**
	 * Closes the connection of a request that runs once, long after it was given up; its
	 * server may have forgotten the connection.
	 */
	private void abandonAttempt() {
		if (this.attemptOpen) {
			endAttempt();
			this.call.cancel();
		}
	}

	private void refuse(String reason, HttpResponseStatus status, double expected, double latest, double returnMillis) {
		this.events.refused(reason, status.code(), this.organisation.map(OrganisationPlan::name).orElse(NO_ROUTE),
				expected, latest, returnMillis);
		if (this.tokenTaken) {
			this.traffic.shares().giveBack(this.organisation.orElseThrow().name());
		}
		finish(reason);
		this.caller.answer(status, "not run: " + reason,
				OptionalDouble.of(returnMillis / TimeUnit.SECONDS.toMillis(1)));
	}

	private void overRate(OrganisationPlan exceeded, double returnMillis) {
		this.events.overRate(exceeded, this.traffic, returnMillis);
		finish("rate");
		this.caller.answer(HttpResponseStatus.TOO_MANY_REQUESTS, "not run: rate",
				OptionalDouble.of(returnMillis / TimeUnit.SECONDS.toMillis(1)));
	}

	private void reject(String reason, HttpResponseStatus status) {
		this.events.refused(reason, status.code(), NO_ROUTE, 0, 0, 0);
		finish(reason);
		this.caller.answer(status, reason, OptionalDouble.empty());
	}

	private void fail(String reason, HttpResponseStatus status) {
		this.events.failed(reason, status.code(), serverName(), this.tried.size());
		finish(reason);
		this.caller.answer(status, "may have run: " + reason, OptionalDouble.empty());
	}

	private void finish(String outcome) {
		this.finished = true;
		this.request.release();
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		this.traffic.finished(routeName(), outcome, System.nanoTime() - this.arrivedAt);
	}

	private void endAttempt() {
		if (this.attemptOpen) {
			this.attemptOpen = false;
			this.choice.server().ended();
		}
	}

	private long left() {
		long callers = this.described.timeoutMillis() - WAY_BACK_MILLIS;
		long routes = (this.route.timeoutMillis() > 0) ? this.route.timeoutMillis() : Long.MAX_VALUE;
		return Math.min(callers, routes) - age();
	}

	private long age() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedAt);
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : NO_ROUTE;
	}

	private String serverName() {
		return (this.choice != null) ? this.choice.server().entry().id() : NO_ROUTE;
	}

	/**
	 * Receives the end of one attempt at a server.
	 */
	private final class Attempt implements AnswerListener {

		private final ServerState server;

		private Attempt(ServerState server) {
			this.server = server;
		}

		@Override
		public boolean answered(FullHttpResponse answer) {
			Dialect.ServerAnswer told = CarriedRequest.this.traffic.dialect().answer(answer);
			if (told.id().isPresent() && !told.id().get().equals(CarriedRequest.this.described.id())) {
				CarriedRequest.this.events.attemptFailed(this.server, CarriedRequest.this.tried.size(),
						"foreign_answer", told.id().get());
				return false;
			}
			CarriedRequest.this.answered(this.server, answer, told);
			return true;
		}

		@Override
		public void failed(Failure failure, String detail) {
			attemptLost(this.server, failure, detail);
		}

	}

}

package io.masticlane.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stops a gateway as planned while callers still use their kept connections to it, as the
 * directory's answer allows them for three times its time to live. All requests are sent
 * more than three seconds after SIGTERM, and their instances answer within the grace
 * period.
 */
public final class PlannedStop {

	private static final int CALLERS = 8;

	private static final long FIRST_SENT_MILLIS = 3_500;

	private static final long INTERVAL_MILLIS = 10;

	/**
	 * The mean time of a request on a cold instance, which takes twice the usual 1,160
	 * ms.
	 */
	private static final long WORK_MILLIS = 2_320;

	private static final int TIMEOUT_MILLIS = 6_000;

	private static final int ROUTE_TIMEOUT_SECONDS = 5;

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	private final Deployment deployment;

	private final Record record;

	private PlannedStop(Deployment deployment, Record record) {
		this.deployment = deployment;
		this.record = record;
	}

	/**
	 * Runs the case, and exits with 1 if the rule was broken, 0 if it held and 2 if the
	 * case could not run.
	 * @param arguments the folder for the record
	 * @throws Exception if the case cannot run
	 */
	public static void main(String[] arguments) throws Exception {
		int status = 2;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"));
				Deployment deployment = new Deployment(record)) {
			status = new PlannedStop(deployment, record).run(!"0".equals(System.getenv("TROUBLE")));
		}
		System.exit(status);
	}

	private int run(boolean trouble) throws IOException, InterruptedException {
		this.deployment.configure(1, Deployment.KEY, ROUTE_TIMEOUT_SECONDS);
		for (int index = 0; index < 3; index++) {
			this.deployment.startInstance("i-" + index,
					(request) -> request.header("Request-Id").startsWith("first") ? 50 : WORK_MILLIS);
		}
		Gateway stopped = this.deployment.startGateway("edge-howrah-1");
		this.deployment.startGateway("edge-howrah-2");
		List<Caller> callers = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			Caller caller = new Caller(stopped.front());
			callers.add(caller);
			Http answer = caller.exchange(request("first-" + index));
			this.record.line("answered id=first-%d status=%d", index, answer.status());
		}
		try (Caller directory = new Caller(stopped.directory())) {
			Http answer = directory.exchange("GET /v1/resolve?Name=" + Deployment.HOST
					+ "&Region=bengal-west&Zone=howrah HTTP/1.1\r\nHost: directory\r\n\r\n");
			this.record.line("directory answers %s", new String(answer.body()));
		}
		long stoppedAt = System.nanoTime();
		if (trouble) {
			stopped.terminate();
			this.record.line("SIGTERM to edge-howrah-1");
		}
		List<Thread> threads = new ArrayList<>();
		for (int index = 0; index < CALLERS; index++) {
			Caller caller = callers.get(index);
			String id = "dues-" + index;
			long sentAt = stoppedAt + TimeUnit.MILLISECONDS.toNanos(FIRST_SENT_MILLIS + INTERVAL_MILLIS * index);
			threads.add(new Thread(() -> send(caller, id, sentAt)));
		}
		threads.forEach(Thread::start);
		for (Thread each : threads) {
			each.join();
		}
		this.record.line("answered=%d cut after they ran=%d", this.answered.get(), this.cut.get());
		if (this.cut.get() > 0) {
			return 1;
		}
		return (this.answered.get() == CALLERS) ? 0 : 2;
	}

	private void send(Caller caller, String id, long sentAt) {
		try {
			TimeUnit.NANOSECONDS.sleep(sentAt - System.nanoTime());
			this.record.line("sent     id=%s", id);
			Http answer = caller.exchange(request(id));
			if (answer != null) {
				this.answered.incrementAndGet();
				this.record.line("answered id=%s status=%d", id, answer.status());
				return;
			}
			this.record.line("closed   id=%s without an answer", id);
		}
		catch (IOException ex) {
			this.record.line("closed   id=%s: %s", id, ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (this.deployment.hasRun(id)) {
			this.cut.incrementAndGet();
		}
	}

	private static String request(String id) {
		return Deployment.head("POST", "/dues/1", id, Deployment.KEY, TIMEOUT_MILLIS, 0);
	}

}

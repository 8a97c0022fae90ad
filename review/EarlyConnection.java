package io.masticlane.review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Restarts a gateway while callers connect to it, and lets them send longer bodies on the
 * same connections once the gateway has long been in touch again. All bodies are far
 * below the limit of the configuration.
 */
public final class EarlyConnection {

	private static final int CALLERS = 12;

	private static final int BODY_BYTES = 1_500_000;

	private static final int TIMEOUT_MILLIS = 6_000;

	private static final int ROUTE_TIMEOUT_SECONDS = 3;

	private static final long WORK_MILLIS = 100;

	/**
	 * Longer than the four seconds after which a restarted machine is in touch, and
	 * shorter than four fifths of the idle timeout of 15 s.
	 */
	private static final long IDLE_SECONDS = 7;

	/**
	 * The denials that the rule allows besides one in 500 requests.
	 */
	private static final int ALLOWED_DENIALS = 5;

	private EarlyConnection() {
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
			status = run(deployment, record, !"0".equals(System.getenv("TROUBLE")));
		}
		System.exit(status);
	}

	private static int run(Deployment deployment, Record record, boolean trouble)
			throws IOException, InterruptedException {
		deployment.configure(1, Deployment.KEY, ROUTE_TIMEOUT_SECONDS);
		for (int index = 0; index < 3; index++) {
			deployment.startInstance("i-" + index, (request) -> WORK_MILLIS);
		}
		Gateway gateway = deployment.startGateway("edge-howrah-1");
		if (trouble) {
			gateway.kill();
			record.line("SIGKILL to edge-howrah-1");
			gateway.start();
			record.line("edge-howrah-1 is started again");
		}
		List<Caller> callers = new ArrayList<>();
		while (callers.size() < CALLERS) {
			try {
				callers.add(new Caller(gateway.front()));
				record.line("caller %d is connected", callers.size() - 1);
			}
			catch (IOException ex) {
				TimeUnit.MILLISECONDS.sleep(1);
			}
		}
		for (int index = 0; index < CALLERS; index++) {
			callers.get(index).send(Http.bytes(head("GET", "/read/1", "read-" + index, 0)));
			record.line("sent     id=read-%d", index);
		}
		for (int index = 0; index < CALLERS; index++) {
			record.line("answered id=read-%d status=%d", index, callers.get(index).read().status());
		}
		TimeUnit.SECONDS.sleep(IDLE_SECONDS);
		int denied = 0;
		int served = 0;
		for (int index = 0; index < CALLERS; index++) {
			Http answer = upload(callers.get(index), "dues-" + index, record);
			if (answer != null && answer.status() == 200) {
				served++;
			}
			else if (answer != null && answer.status() == 413) {
				denied++;
			}
		}
		record.line("served=%d denied=%d of %d proper requests", served, denied, CALLERS);
		if (denied > ALLOWED_DENIALS + 2 * CALLERS / 500) {
			return 1;
		}
		return (served == CALLERS) ? 0 : 2;
	}

	private static Http upload(Caller caller, String id, Record record) {
		record.line("sent     id=%s body=%d", id, BODY_BYTES);
		try {
			Http answer = caller.upload(head("POST", "/dues/1", id, BODY_BYTES), BODY_BYTES);
			record.line("answered id=%s status=%s", id, (answer != null) ? answer.status() : "none");
			return answer;
		}
		catch (IOException ex) {
			record.line("closed   id=%s: %s", id, ex.getMessage());
			return null;
		}
	}

	private static String head(String method, String path, String id, int length) {
		return Deployment.head(method, path, id, Deployment.KEY, TIMEOUT_MILLIS, length);
	}

}

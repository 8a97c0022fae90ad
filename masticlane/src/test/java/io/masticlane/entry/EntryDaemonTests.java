package io.masticlane.entry;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.UUID;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;

import io.masticlane.fixture.Await;
import io.masticlane.fixture.Fleet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EntryDaemonTests {

	private Fleet fleet;

	@BeforeClass
	public void startFleet() throws IOException {
		this.fleet = Fleet.start(7, 12, 7, 2, UnaryOperator.identity());
	}

	@AfterClass(alwaysRun = true)
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	@Test
	public void sevenEntryHostsServeEightOrganisations() throws Exception {
		for (int entryHost = 0; entryHost < 7; entryHost++) {
			for (String organisation : Fleet.ORGANISATIONS) {
				Fleet.Call call = Fleet.Call.get("/ledger/balance?of=" + organisation).withKeyOf(organisation);
				int index = entryHost;
				Await.until("tokens are available", () -> this.fleet.send(index, call).statusCode() != 429);
				HttpResponse<String> response = this.fleet.send(entryHost, call);
				assertEquals(response.statusCode(), 200, response.body());
				assertTrue(response.body().endsWith(" " + organisation + " /ledger/balance?of=" + organisation + "\n"),
						response.body());
			}
		}
	}

	@Test
	public void anOperationSentToEveryEntryHostRunsOnce() throws Exception {
		String operation = UUID.randomUUID().toString();
		List<Integer> statuses = IntStream.range(0, 7).mapToObj((entryHost) -> {
			try {
				return this.fleet.send(entryHost, Fleet.Call.post("/ledger/dues", operation).withKeyOf("org-1"))
					.statusCode();
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}).toList();
		assertEquals(statuses, List.of(200, 409, 409, 409, 409, 409, 409));
		assertEquals(this.fleet.runs(operation), 1);
	}

	@Test
	public void noBackendServerReceivesACallersKey() throws Exception {
		this.fleet.send(0,
				Fleet.Call.get("/ledger/balance").withKeyOf("org-2").withHeader("Masticlane-Organisation", "org-3"));
		this.fleet.backendServers()
			.forEach((server) -> assertFalse(server.headerNames().contains("authorization"), "a key was forwarded"));
	}

	@Test
	public void aRequestWithoutAGrantedKeyIsRefusedAsNotRun() throws Exception {
		HttpResponse<String> missing = this.fleet.get(0, "/ledger/balance");
		HttpResponse<String> wrong = this.fleet.send(0,
				Fleet.Call.get("/ledger/balance").withHeader("Authorization", "Bearer org-1-1.wrong"));
		assertEquals(List.of(missing.statusCode(), wrong.statusCode()), List.of(401, 403));
		assertEquals(missing.headers().firstValue("Request-Outcome").orElse(""), "not-run");
	}

}

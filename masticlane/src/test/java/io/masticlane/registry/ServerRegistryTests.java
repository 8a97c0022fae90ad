package io.masticlane.registry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ServerRegistryTests {

	private final List<String> gone = new ArrayList<>();

	private final ServerRegistry registry = new ServerRegistry((former, server) -> {
	}, (server) -> this.gone.add(server.id()));

	@Test
	public void anEntryThatIsDeletedWhileTheStoreIsCalmIsGoneAtOnce() {
		ServerRegistry calm = new ServerRegistry((former, server) -> {
		}, (server) -> this.gone.add(server.id() + " of the calm store"));
		calm.entryWritten(server("one"));
		calm.entryDeleted("one", 10);
		assertEquals(this.gone.contains("one of the calm store"), true);
	}

	@Test
	public void anEntryThatLapsedDuringAnOutageMayComeBack() {
		this.registry.entryWritten(server("back"));
		this.registry.entryWritten(server("lost"));
		this.registry.storeRecovered(1_000);
		this.registry.entriesReplaced(List.of(), 2_000);
		this.registry.entryWritten(server("back"));
		this.registry.expire(1_000 + ServerRegistry.LAPSE_GRACE_NANOS - 1);
		assertEquals(this.registry.servers().size(), 2);
		this.registry.expire(1_000 + ServerRegistry.LAPSE_GRACE_NANOS);
		assertEquals(this.registry.servers().keySet().toString(), "[back]");
		assertEquals(this.gone.contains("lost"), true);
	}

	private static RegisteredServer server(String id) {
		return new RegisteredServer(id, "service", InetSocketAddress.createUnresolved("10.0.0.1", 80), "a", 4, false, 0,
				1, 1);
	}

}

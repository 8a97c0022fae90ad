package io.masticlane.registry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class ServerRegistryTests {

	private final List<String> removed = new ArrayList<>();

	private final ServerRegistry registry = new ServerRegistry((previous, server) -> {
	}, (server) -> this.removed.add(server.id()));

	@Test
	public void aServerIsRemovedImmediatelyIfItsEntryIsDeletedWithoutAnOutage() {
		ServerRegistry registryWithoutOutage = new ServerRegistry((previous, server) -> {
		}, (server) -> this.removed.add(server.id() + " without an outage"));
		registryWithoutOutage.entryWritten(server("one"));
		registryWithoutOutage.entryDeleted("one", 10);
		assertEquals(this.removed.contains("one without an outage"), true);
	}

	@Test
	public void anEntryThatExpiredDuringAnOutageMayBeWrittenAgain() {
		this.registry.entryWritten(server("back"));
		this.registry.entryWritten(server("lost"));
		this.registry.storeRecovered(1_000);
		this.registry.entriesReplaced(List.of(), 2_000);
		this.registry.entryWritten(server("back"));
		this.registry.expire(1_000 + ServerRegistry.LAPSE_GRACE_NANOS - 1);
		assertEquals(this.registry.servers().size(), 2);
		this.registry.expire(1_000 + ServerRegistry.LAPSE_GRACE_NANOS);
		assertEquals(this.registry.servers().keySet().toString(), "[back]");
		assertEquals(this.removed.contains("lost"), true);
	}

	private static RegisteredServer server(String id) {
		return new RegisteredServer(id, "service", InetSocketAddress.createUnresolved("10.0.0.1", 80), "a", 4, false, 0,
				1, 1);
	}

}

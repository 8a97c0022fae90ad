package io.masticlane.store;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ForkJoinPool;
import java.util.stream.IntStream;

import io.masticlane.demo.StoreStandIn;
import io.masticlane.fixture.Await;
import io.masticlane.fixture.FaultProxy;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class ConfigurationWriterTests {

	private static final String KEY = "masticlane/configuration";

	private StoreStandIn store;

	private FaultProxy proxy;

	private Store direct;

	@BeforeMethod
	public void start() throws IOException {
		this.store = new StoreStandIn(new InetSocketAddress("127.0.0.1", 0));
		this.proxy = new FaultProxy(new InetSocketAddress("127.0.0.1", 0), this.store.address());
		this.direct = client(this.store.address());
	}

	@AfterMethod(alwaysRun = true)
	public void stop() {
		this.proxy.close();
		this.store.close();
	}

	@Test
	public void theSecondOfTwoWritesWithTheSameExpectedRevisionReceivesTheRevisionOfTheFirst() {
		long base = writer().write(envelope("base"), Store.ABSENT).revision();
		ConfigurationWriter.Result first = writer().write(envelope("first"), base);
		ConfigurationWriter.Result second = writer().write(envelope("second"), base);
		assertTrue(first.accepted());
		assertEquals(second, ConfigurationWriter.Result.conflict(first.revision()));
		assertEquals(storedEnvelope().nonce(), "first");
	}

	@Test
	public void aWriteWhoseReplyWasLostIsRecognised() {
		long base = writer().write(envelope("base"), Store.ABSENT).revision();
		CompletableFuture<ConfigurationWriter.Result> lost = writeWithoutReply("lost", base);
		this.proxy.clearFaults();
		long written = this.direct.revision(KEY).join();
		assertEquals(lost.join(), ConfigurationWriter.Result.accepted(written, written));
	}

	@Test
	public void aWriteWhoseReplyWasLostIsRecognisedAfterLaterWrites() {
		long base = writer().write(envelope("base"), Store.ABSENT).revision();
		CompletableFuture<ConfigurationWriter.Result> lost = writeWithoutReply("lost", base);
		long written = this.direct.revision(KEY).join();
		long other = writer().write(envelope("other"), written).revision();
		long last = writer().write(envelope("last"), other).revision();
		this.proxy.clearFaults();
		assertEquals(lost.join(), ConfigurationWriter.Result.accepted(written, last));
	}

	@Test
	public void aWriteThatWasPrecededByAnotherIsAConflictEvenIfItsReplyWasLost() {
		long base = writer().write(envelope("base"), Store.ABSENT).revision();
		this.proxy.discardAll();
		CompletableFuture<ConfigurationWriter.Result> lost = CompletableFuture
			.supplyAsync(() -> new ConfigurationWriter(lossyWrites(), KEY).write(envelope("lost"), base));
		Await.until("the first attempt is in progress", () -> this.proxy.openConnections() > 0);
		long other = writer().write(envelope("other"), base).revision();
		this.proxy.clearFaults();
		assertEquals(lost.join(), ConfigurationWriter.Result.conflict(other));
	}

	@Test
	public void aWriteBeyondTheMaximumOfPredecessorsIsUnknown() {
		long base = writer().write(envelope("base"), Store.ABSENT).revision();
		CompletableFuture<ConfigurationWriter.Result> lost = writeWithoutReply("lost", base);
		IntStream.rangeClosed(0, ConfigurationEnvelope.MAXIMUM_PREDECESSORS)
			.forEach((index) -> writer().write(envelope("other-" + index), this.direct.revision(KEY).join()));
		this.proxy.clearFaults();
		assertEquals(lost.join().verdict(), ConfigurationWriter.Verdict.UNKNOWN);
	}

	private CompletableFuture<ConfigurationWriter.Result> writeWithoutReply(String nonce, long base) {
		Store lossy = lossyWrites();
		this.proxy.discardReplies();
		CompletableFuture<ConfigurationWriter.Result> result = CompletableFuture
			.supplyAsync(() -> new ConfigurationWriter(lossy, KEY).write(envelope(nonce), base));
		Await.until("the write took effect", () -> storedEnvelope().nonce().equals(nonce));
		return result;
	}

	/**
	 * Returns a store that sends only writes through the proxy.
	 * @return the store
	 */
	private Store lossyWrites() {
		Store lossy = client(this.proxy.address());
		return (Store) Proxy.newProxyInstance(Store.class.getClassLoader(), new Class<?>[] { Store.class },
				(self, method, arguments) -> method
					.invoke(method.getName().equals("compareAndSet") ? lossy : this.direct, arguments));
	}

	private ConfigurationWriter writer() {
		return new ConfigurationWriter(this.direct, KEY);
	}

	private ConfigurationEnvelope storedEnvelope() {
		return ConfigurationEnvelope.decode(this.direct.read(KEY).join().orElseThrow().value());
	}

	private static ConfigurationEnvelope envelope(String nonce) {
		return new ConfigurationEnvelope(nonce, new byte[] { '{', '}' });
	}

	private static Store client(InetSocketAddress address) {
		return new EtcdStore(address, Duration.ofSeconds(1), ForkJoinPool.commonPool());
	}

}

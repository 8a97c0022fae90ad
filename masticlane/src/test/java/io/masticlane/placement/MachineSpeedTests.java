package io.masticlane.placement;

import java.net.InetSocketAddress;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import io.masticlane.registry.RegisteredServer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class MachineSpeedTests {

	private static final ServerLoad REPORT = new ServerLoad(OptionalInt.empty(), OptionalInt.empty(),
			OptionalInt.empty(), OptionalDouble.of(250));

	/**
	 * Guards against a report that outlives the slow phase it is from.
	 */
	@Test
	public void aReportAgesWithinASlowPhase() {
		MachineSpeed speed = new MachineSpeed();
		assertEquals(speed.factor(0), 1.0);
		speed.record(250, 0);
		assertEquals(speed.factor(0), 2.5, 0.001);
		assertEquals(speed.factor(nanos(300)), 1.75, 0.001);
		assertEquals(speed.factor(nanos(600)), 1.0);
		assertTrue(speed.isRecent(nanos(599)));
		assertFalse(speed.isRecent(nanos(601)));
		speed.record(100, nanos(100));
		assertEquals(speed.factor(nanos(100)), 1.0);
	}

	/**
	 * Guards against a server that no request or every request is sent to because of a
	 * misleading figure.
	 */
	@Test
	public void aFigureHasABoundedEffect() {
		MachineSpeed speed = new MachineSpeed();
		speed.record(100, 0);
		speed.record(10_000, 0);
		assertEquals(speed.factor(0), 2.5);
		assertEquals(speed.additionalMillis(100, 0), 150.0);
		assertEquals(speed.additionalMillis(60_000, 0), 900.0);
		speed.record(Double.MIN_VALUE, 0);
		assertEquals(speed.additionalMillis(100, 0), 0.0);
		speed.clear();
		speed.record(10_000, 0);
		assertEquals(speed.factor(0), 1.0);
	}

	/**
	 * Guards against a server that is avoided for good since it counts in another unit.
	 */
	@Test
	public void aFigureThatIsAlwaysTheSameHasNoLastingEffect() {
		MachineSpeed speed = new MachineSpeed();
		speed.record(100, 0);
		for (int second = 0; second <= 20; second++) {
			speed.record(1_000, nanos(second * 1_000));
		}
		assertEquals(speed.factor(nanos(20_000)), 1.0, 0.001);
		speed.record(2_500, nanos(20_100));
		assertEquals(speed.factor(nanos(20_100)), 2.5, 0.05);
	}

	/**
	 * Guards against a server that counts as slow for seconds after its machine was slow
	 * for a moment.
	 */
	@Test
	public void aResponseOfASlowMachineIsLearnedAtTheUsualSpeed() {
		ServerState server = new ServerState(new RegisteredServer("i", "s",
				InetSocketAddress.createUnresolved("10.0.0.1", 80), "west", 4, false, 0, 1, 1), "west", 0);
		server.recordReport(REPORT, 0);
		assertEquals(server.machineSpeed().atUsualSpeed(250, REPORT), 100.0, 0.001);
		assertEquals(server.machineSpeed().atUsualSpeed(1_000, REPORT), 820.0, 0.001);
		assertEquals(server.machineSpeed().atUsualSpeed(250, ServerLoad.UNKNOWN), 250.0);
		assertEquals(server.load(0), 0);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}

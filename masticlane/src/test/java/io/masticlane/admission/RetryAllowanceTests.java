package io.masticlane.admission;

import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class RetryAllowanceTests {

	@Test
	public void retriesOfAllGatewaysStayWithinTheBudgetOfAWindow() {
		int gateways = 7;
		int requestsPerGateway = 300;
		long retries = IntStream.range(0, gateways).mapToLong((gateway) -> {
			RetryAllowance allowance = new RetryAllowance(0.2);
			allowance.divide(62, gateways);
			return IntStream.range(0, requestsPerGateway).filter((request) -> {
				allowance.countRequest();
				return allowance.tryAcquire();
			}).count();
		}).sum();
		assertTrue(retries <= 0.2 * requestsPerGateway * gateways + 62, "retries " + retries);
		assertTrue(retries >= 0.08 * requestsPerGateway * gateways, "retries " + retries);
	}

}

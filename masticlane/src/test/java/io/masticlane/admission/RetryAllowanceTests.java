package io.masticlane.admission;

import java.util.stream.IntStream;

import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class RetryAllowanceTests {

	@Test
	public void retriesOfAllGatewaysStayInsideTheBudgetOfAWindow() {
		int gateways = 7;
		int requestsOfGateway = 300;
		long retries = IntStream.range(0, gateways).mapToLong((gateway) -> {
			RetryAllowance allowance = new RetryAllowance(0.2);
			allowance.divide(62, gateways);
			return IntStream.range(0, requestsOfGateway).filter((request) -> {
				allowance.countRequest();
				return allowance.tryAcquire();
			}).count();
		}).sum();
		assertTrue(retries <= 0.2 * requestsOfGateway * gateways + 62, "retries " + retries);
		assertTrue(retries >= 0.08 * requestsOfGateway * gateways, "retries " + retries);
	}

}

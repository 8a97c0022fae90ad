package io.masticlane.operation;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.masticlane.operation.OperationLedger.Bounds;
import io.masticlane.operation.OperationLedger.Claimant;
import io.masticlane.operation.Operations.Verdict.Kind;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class OperationLedgerTests {

	private static final String INCARNATION = "00000000-0000-0000-0000-000000000001";

	private static final Claimant FIRST = new Claimant(INCARNATION, 1);

	private static final Claimant SECOND = new Claimant("other", 1);

	private final OperationLedger ledger = new OperationLedger(INCARNATION, new Bounds(100, 10, 10));

	@Test
	public void onlyTheHolderOfAGrantCanReleaseIt() {
		Operation operation = operation("held");
		assertEquals(claim(operation, FIRST), Kind.GRANTED);
		this.ledger.release(operation, SECOND);
		assertEquals(claim(operation, SECOND), Kind.RUNNING);
		this.ledger.release(operation, FIRST);
		assertEquals(claim(operation, SECOND), Kind.GRANTED);
	}

	@Test
	public void anEndedOperationIsNeverGrantedAgain() {
		Operation operation = operation("ended");
		this.ledger.claim(operation, FIRST);
		this.ledger.end(operation, FIRST, Optional.empty());
		this.ledger.release(operation, FIRST);
		assertEquals(claim(operation, SECOND), Kind.UNKNOWN);
		assertFalse(this.ledger.isKnownNotRun(operation));
	}

	@Test
	public void aRecordedResponseIsReplayedOnlyForTheSameRequest() {
		Operation operation = operation("answered");
		RecordedResponse response = new RecordedResponse(200, List.of(), new byte[8]);
		this.ledger.claim(operation, FIRST);
		this.ledger.end(operation, FIRST, Optional.of(response));
		assertEquals(this.ledger.claim(operation, SECOND).response().orElseThrow(), response);
		Operation differentRequest = Operation.of("org-1", operation.key(), 7);
		assertEquals(claim(differentRequest, SECOND), Kind.MISMATCHED);
	}

	@Test
	public void aResponseBeyondTheSizeLimitIsNotRecordedAndItsOperationIsNotGrantedAgain() {
		Operation operation = operation("large");
		this.ledger.claim(operation, FIRST);
		this.ledger.end(operation, FIRST, Optional.of(new RecordedResponse(200, List.of(), new byte[11])));
		assertEquals(claim(operation, SECOND), Kind.UNKNOWN);
	}

	@Test
	public void aLimitOfOneOrganisationIsEnforcedAndOtherOrganisationsAreStillGranted() {
		OperationLedger limited = new OperationLedger(INCARNATION, new Bounds(100, 2, 10));
		List<Kind> kinds = IntStream.range(0, 3)
			.mapToObj((index) -> limited.claim(operation("full-" + index), FIRST).kind())
			.toList();
		assertEquals(kinds, List.of(Kind.GRANTED, Kind.GRANTED, Kind.FULL));
		assertTrue(limited.isKnownNotRun(operation("full-2")));
		assertEquals(limited.claim(Operation.of("org-2", operation("x").key(), 0), FIRST).kind(), Kind.GRANTED);
	}

	@Test
	public void operationsOfExpiredAndFutureEpochsAreNeverGranted() {
		OperationLedger aging = new OperationLedger(INCARNATION, new Bounds(100, 10, 10));
		Operation operation = operation("aged");
		aging.claim(operation, FIRST);
		aging.openEpoch();
		assertEquals(aging.claim(operation, SECOND).kind(), Kind.RUNNING);
		aging.openEpoch();
		assertEquals(aging.claim(operation, SECOND).kind(), Kind.UNKNOWN);
		assertEquals(aging.size(), 0);
		Operation future = Operation.of("org-1", Operation.prefix(INCARNATION, 4) + "x", 0);
		assertEquals(aging.claim(future, SECOND).kind(), Kind.UNKNOWN);
	}

	private Kind claim(Operation operation, Claimant claimant) {
		return this.ledger.claim(operation, claimant).kind();
	}

	private static Operation operation(String name) {
		return Operation.of("org-1", Operation.prefix(INCARNATION, 1) + name, 0);
	}

}

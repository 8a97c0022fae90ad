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
	public void onlyTheHolderOfAGrantReleasesIt() {
		Operation operation = operation("held");
		assertEquals(kind(operation, FIRST), Kind.GRANTED);
		this.ledger.release(operation, SECOND);
		assertEquals(kind(operation, SECOND), Kind.RUNNING);
		this.ledger.release(operation, FIRST);
		assertEquals(kind(operation, SECOND), Kind.GRANTED);
	}

	@Test
	public void anOperationThatEndedIsNeverGrantedAgain() {
		Operation operation = operation("ended");
		this.ledger.claim(operation, FIRST);
		this.ledger.end(operation, FIRST, Optional.empty());
		this.ledger.release(operation, FIRST);
		assertEquals(kind(operation, SECOND), Kind.UNKNOWN);
		assertFalse(this.ledger.knownNotRun(operation));
	}

	@Test
	public void anAnswerIsGivenAgainToTheSameRequestAlone() {
		Operation operation = operation("answered");
		RecordedAnswer answer = new RecordedAnswer(200, List.of(), new byte[8]);
		this.ledger.claim(operation, FIRST);
		this.ledger.end(operation, FIRST, Optional.of(answer));
		assertEquals(this.ledger.claim(operation, SECOND).answer().orElseThrow(), answer);
		Operation other = Operation.of("org-1", operation.key(), 7);
		assertEquals(kind(other, SECOND), Kind.MISMATCHED);
	}

	@Test
	public void anAnswerBeyondTheBoundIsForgottenButNotItsOperation() {
		Operation operation = operation("large");
		this.ledger.claim(operation, FIRST);
		this.ledger.end(operation, FIRST, Optional.of(new RecordedAnswer(200, List.of(), new byte[11])));
		assertEquals(kind(operation, SECOND), Kind.UNKNOWN);
	}

	@Test
	public void aFullTableGrantsNothingAndOtherOrganisationsKeepTheirRoom() {
		OperationLedger small = new OperationLedger(INCARNATION, new Bounds(100, 2, 10));
		List<Kind> kinds = IntStream.range(0, 3)
			.mapToObj((index) -> small.claim(operation("full-" + index), FIRST).kind())
			.toList();
		assertEquals(kinds, List.of(Kind.GRANTED, Kind.GRANTED, Kind.FULL));
		assertTrue(small.knownNotRun(operation("full-2")));
		assertEquals(small.claim(Operation.of("org-2", operation("x").key(), 0), FIRST).kind(), Kind.GRANTED);
	}

	@Test
	public void operationsOfClosedAndFutureEpochsAreNeverGranted() {
		OperationLedger aged = new OperationLedger(INCARNATION, new Bounds(100, 10, 10));
		Operation operation = operation("aged");
		aged.claim(operation, FIRST);
		aged.openEpoch();
		assertEquals(aged.claim(operation, SECOND).kind(), Kind.RUNNING);
		aged.openEpoch();
		assertEquals(aged.claim(operation, SECOND).kind(), Kind.UNKNOWN);
		assertEquals(aged.size(), 0);
		Operation future = Operation.of("org-1", Operation.prefix(INCARNATION, 4) + "x", 0);
		assertEquals(aged.claim(future, SECOND).kind(), Kind.UNKNOWN);
	}

	private Kind kind(Operation operation, Claimant claimant) {
		return this.ledger.claim(operation, claimant).kind();
	}

	private static Operation operation(String name) {
		return Operation.of("org-1", Operation.prefix(INCARNATION, 1) + name, 0);
	}

}

package io.masticlane.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.masticlane.configuration.Configuration;
import io.masticlane.message.Message;

/**
 * Divides every limit into equal shares that entry hosts lend to each other. The sum of
 * what all processes may use never exceeds the whole, whatever is lost, delayed, paused
 * or cut. Used on the decisions' thread alone; time comes with each call.
 */
public final class ShareLedger implements Limits {

	private static final long LOAN_HINT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private final String host;

	private final LoanMessageSender sender;

	private final Map<String, Account> accounts = new TreeMap<>();

	private final List<Division> former = new ArrayList<>();

	private Division division = Division.NONE;

	private Set<String> shares = Set.of();

	private long sharesUntil;

	private long lastLoan;

	/**
	 * Creates a new ledger that holds no share.
	 * @param host the name of this entry host
	 * @param firstLoan a random number, so that no other process uses the same
	 * identifiers
	 * @param sender the sender of messages
	 */
	public ShareLedger(String host, long firstLoan, LoanMessageSender sender) {
		this.host = host;
		this.lastLoan = firstLoan;
		this.sender = sender;
		this.former.add(Division.NONE);
	}

	@Override
	public void configure(Configuration configuration, long revision, long now) {
		if (!this.division.equals(Division.NONE)) {
			this.former.add(this.division);
		}
		this.division = Division.of(configuration, revision);
		List<String> lenders = new ProximityOrder(configuration, this.host).otherHosts();
		this.division.limits().keySet().forEach((limit) -> account(limit, now).configure(revision, lenders));
		reviseShares(now);
	}

	/**
	 * Takes into account that every entry host goes by a revision, and that all loans of
	 * former revisions have ended.
	 * @param revision the revision
	 * @param now the present in nanoseconds
	 */
	public void discardPreviousDivisions(long revision, long now) {
		if (revision == this.division.revision() && !this.former.isEmpty()) {
			this.former.clear();
			reviseShares(now);
		}
	}

	/**
	 * Takes the shares into account that this process holds.
	 * @param hosts the names of the entry hosts whose shares are held
	 * @param until the end of their use on the monotonic clock in nanoseconds
	 * @param now the present in nanoseconds
	 */
	public void updateShares(Set<String> hosts, long until, long now) {
		if (!this.shares.equals(hosts) || this.sharesUntil != until) {
			this.shares = Set.copyOf(hosts);
			this.sharesUntil = until;
			reviseShares(now);
		}
	}

	@Override
	public boolean tryAcquire(String limit, double tokens, long now) {
		Account account = this.accounts.get(limit);
		if (account == null) {
			return false;
		}
		boolean taken = account.share().tryAcquire(tokens, now);
		if (!taken) {
			account.borrowing().tick(now);
			account.borrowing().requestTokens(now);
		}
		return taken;
	}

	@Override
	public boolean tryAcquireDelayed(String limit, double tokens, long now) {
		Account account = this.accounts.get(limit);
		boolean taken = account != null && account.share().tryAcquireDelayed(tokens, now);
		if (account != null && !taken) {
			account.borrowing().requestTokens(now);
		}
		return taken;
	}

	@Override
	public long nanosUntilAvailable(String limit, double tokens, long now) {
		Account account = this.accounts.get(limit);
		if (account == null) {
			return Long.MAX_VALUE;
		}
		long refill = account.share().nanosUntilAvailable(tokens, now);
		return account.borrowing().hasPendingRequest(now) ? Math.min(refill, LOAN_HINT_NANOS) : refill;
	}

	/**
	 * Answers a request for a loan.
	 * @param borrower the name of the entry host that asks
	 * @param request the request
	 * @param now the present in nanoseconds
	 */
	public void receive(String borrower, Message.LoanRequest request, long now) {
		boolean agreed = request.revision() == this.division.revision() && this.division.hosts().contains(borrower);
		Message.LoanGrant grant = Optional.ofNullable(this.accounts.get(request.limit()))
			.filter((account) -> agreed)
			.map((account) -> LendingPolicy.reply(account.share(), borrower, request, now))
			.orElseGet(() -> LendingPolicy.refusal(request));
		this.sender.send(borrower, grant);
	}

	/**
	 * Receives the answer to a request for a loan.
	 * @param grant the answer
	 * @param now the present in nanoseconds
	 */
	public void receive(Message.LoanGrant grant, long now) {
		Optional.ofNullable(this.accounts.get(grant.limit()))
			.ifPresent((account) -> account.borrowing().receive(grant, now));
	}

	/**
	 * Renews loans and asks for new ones.
	 * @param now the present in nanoseconds
	 */
	public void tick(long now) {
		this.accounts.entrySet()
			.removeIf((entry) -> !this.division.limits().containsKey(entry.getKey())
					&& entry.getValue().share().isEmpty(now));
		this.accounts.values().forEach((account) -> account.borrowing().tick(now));
	}

	/**
	 * Returns the rate of a limit that this process may use at present.
	 * @param limit the identifier of the limit
	 * @param now the present in nanoseconds
	 * @return the rate in tokens per second
	 */
	public double rate(String limit, long now) {
		return usable(limit, now).rate();
	}

	/**
	 * Returns the burst of a limit that this process may use at present.
	 * @param limit the identifier of the limit
	 * @param now the present in nanoseconds
	 * @return the burst in tokens
	 */
	public double burst(String limit, long now) {
		return usable(limit, now).burst();
	}

	private RateAndBurst usable(String limit, long now) {
		return Optional.ofNullable(this.accounts.get(limit))
			.map((account) -> account.share().usable(now))
			.orElse(RateAndBurst.ZERO);
	}

	private Account account(String limit, long now) {
		return this.accounts.computeIfAbsent(limit, (identifier) -> {
			LimitShare share = new LimitShare(now);
			return new Account(share, new Borrower(identifier, share, () -> ++this.lastLoan, this.sender));
		});
	}

	private void reviseShares(long now) {
		boolean unknownFormer = this.former.contains(Division.NONE);
		this.accounts.forEach((limit, account) -> {
			RateAndBurst amount = unknownFormer ? RateAndBurst.ZERO
					: this.division.amount(limit, this.shares, this.former);
			account.share().assign(amount, this.sharesUntil, now);
		});
	}

	private record Account(LimitShare share, Borrower borrowing) {

		void configure(long revision, List<String> lenders) {
			this.borrowing.configure(revision, lenders);
		}

	}

}

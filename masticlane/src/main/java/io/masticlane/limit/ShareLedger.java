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
 * what all processes may use never exceeds the limit, even if messages are lost or
 * delayed, processes pause or the network is partitioned. Used on the decisions thread
 * only; each call passes the current time.
 */
public final class ShareLedger implements Limits {

	private static final long PENDING_LOAN_HINT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private final String host;

	private final LoanMessageSender sender;

	private final Map<String, Account> accounts = new TreeMap<>();

	private final List<Division> previous = new ArrayList<>();

	private Division division = Division.NONE;

	private Set<String> shares = Set.of();

	private long sharesUntil;

	private long lastLoanIdentifier;

	/**
	 * Creates a new ledger that holds no share.
	 * @param host the name of this entry host
	 * @param loanIdentifierSeed a random number after which loan identifiers start, so
	 * that no two processes use the same ones
	 * @param sender the sender of messages
	 */
	public ShareLedger(String host, long loanIdentifierSeed, LoanMessageSender sender) {
		this.host = host;
		this.lastLoanIdentifier = loanIdentifierSeed;
		this.sender = sender;
		this.previous.add(Division.NONE);
	}

	@Override
	public void configure(Configuration configuration, long revision, long now) {
		if (!this.division.equals(Division.NONE)) {
			this.previous.add(this.division);
		}
		this.division = Division.of(configuration, revision);
		List<String> lenders = new ProximityOrder(configuration, this.host).otherHosts();
		this.division.limits().keySet().forEach((limit) -> account(limit, now).configure(revision, lenders));
		assignShares(now);
	}

	/**
	 * Discards the previous divisions, once every entry host uses a revision and all
	 * loans of earlier revisions have expired.
	 * @param revision the revision
	 * @param now the current time in nanoseconds
	 */
	public void discardPreviousDivisions(long revision, long now) {
		if (revision == this.division.revision() && !this.previous.isEmpty()) {
			this.previous.clear();
			assignShares(now);
		}
	}

	/**
	 * Updates the shares that this process holds.
	 * @param hosts the names of the entry hosts whose shares are held
	 * @param until the monotonic time in nanoseconds at which their use ends
	 * @param now the current time in nanoseconds
	 */
	public void updateShares(Set<String> hosts, long until, long now) {
		if (!this.shares.equals(hosts) || this.sharesUntil != until) {
			this.shares = Set.copyOf(hosts);
			this.sharesUntil = until;
			assignShares(now);
		}
	}

	@Override
	public boolean tryAcquire(String limit, double tokens, long now) {
		Account account = this.accounts.get(limit);
		if (account == null) {
			return false;
		}
		boolean acquired = account.share().tryAcquire(tokens, now);
		if (!acquired) {
			account.borrower().tick(now);
			account.borrower().requestTokens(now);
		}
		return acquired;
	}

	@Override
	public boolean tryAcquireDelayed(String limit, double tokens, long now) {
		Account account = this.accounts.get(limit);
		boolean acquired = account != null && account.share().tryAcquireDelayed(tokens, now);
		if (account != null && !acquired) {
			account.borrower().requestTokens(now);
		}
		return acquired;
	}

	@Override
	public long nanosUntilAvailable(String limit, double tokens, long now) {
		Account account = this.accounts.get(limit);
		if (account == null) {
			return Long.MAX_VALUE;
		}
		long untilRefill = account.share().nanosUntilAvailable(tokens, now);
		return account.borrower().hasPendingRequest(now) ? Math.min(untilRefill, PENDING_LOAN_HINT_NANOS) : untilRefill;
	}

	/**
	 * Replies to a loan request.
	 * @param borrower the name of the requesting entry host
	 * @param request the request
	 * @param now the current time in nanoseconds
	 */
	public void receive(String borrower, Message.LoanRequest request, long now) {
		boolean eligible = request.revision() == this.division.revision() && this.division.hosts().contains(borrower);
		Message.LoanGrant grant = Optional.ofNullable(this.accounts.get(request.limit()))
			.filter((account) -> eligible)
			.map((account) -> LendingPolicy.reply(account.share(), borrower, request, now))
			.orElseGet(() -> LendingPolicy.refusal(request));
		this.sender.send(borrower, grant);
	}

	/**
	 * Receives the reply to a loan request.
	 * @param grant the reply
	 * @param now the current time in nanoseconds
	 */
	public void receive(Message.LoanGrant grant, long now) {
		Optional.ofNullable(this.accounts.get(grant.limit()))
			.ifPresent((account) -> account.borrower().receive(grant, now));
	}

	/**
	 * Renews loans and requests new ones.
	 * @param now the current time in nanoseconds
	 */
	public void tick(long now) {
		this.accounts.entrySet()
			.removeIf((entry) -> !this.division.limits().containsKey(entry.getKey())
					&& entry.getValue().share().isEmpty(now));
		this.accounts.values().forEach((account) -> account.borrower().tick(now));
	}

	/**
	 * Returns the rate of a limit that this process may currently use.
	 * @param limit the identifier of the limit
	 * @param now the current time in nanoseconds
	 * @return the rate in tokens per second
	 */
	public double rate(String limit, long now) {
		return usable(limit, now).rate();
	}

	/**
	 * Returns the burst of a limit that this process may currently use.
	 * @param limit the identifier of the limit
	 * @param now the current time in nanoseconds
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
			return new Account(share, new Borrower(identifier, share, () -> ++this.lastLoanIdentifier, this.sender));
		});
	}

	private void assignShares(long now) {
		boolean previousUnknown = this.previous.contains(Division.NONE);
		this.accounts.forEach((limit, account) -> {
			RateAndBurst amount = previousUnknown ? RateAndBurst.ZERO
					: this.division.amount(limit, this.shares, this.previous);
			account.share().assign(amount, this.sharesUntil, now);
		});
	}

	private record Account(LimitShare share, Borrower borrower) {

		void configure(long revision, List<String> lenders) {
			this.borrower.configure(revision, lenders);
		}

	}

}

package io.masticlane.message;

import java.io.IOException;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A message between entry hosts, generated from the schema.
 */
public sealed interface Message {

	/**
	 * The version of the peer protocol that this schema describes.
	 */
	int PROTOCOL_VERSION = 1;

	/**
	 * Writes this message as a MessagePack array of its tag and fields.
	 * @param packer the packer to write to
	 * @throws IOException if the packer fails
	 */
	void encode(MessagePacker packer) throws IOException;

	/**
	 * Reads a message. Fields appended by a later schema are skipped, and appended fields
	 * that the sender's schema does not have are empty.
	 * @param unpacker the unpacker to read from
	 * @return the message
	 * @throws IOException if the bytes are not a valid message of a known type
	 */
	static Message decode(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		int tag = unpacker.unpackInt();
		Message decoded;
		switch (tag) {
			case 1:
				MessageFrame.checkSize(tag, size, 4);
				decoded = Greeting.decodeFields(unpacker);
				unpacker.skipValue(size - 4);
				break;
			case 2:
				MessageFrame.checkSize(tag, size, 9);
				decoded = Heartbeat.decodeFields(unpacker);
				unpacker.skipValue(size - 9);
				break;
			case 3:
				MessageFrame.checkSize(tag, size, 2);
				decoded = ConfigurationQuery.decodeFields(unpacker);
				unpacker.skipValue(size - 2);
				break;
			case 4:
				MessageFrame.checkSize(tag, size, 3);
				decoded = ConfigurationPush.decodeFields(unpacker);
				unpacker.skipValue(size - 3);
				break;
			case 5:
				MessageFrame.checkSize(tag, size, 10);
				decoded = LoanRequest.decodeFields(unpacker);
				unpacker.skipValue(size - 10);
				break;
			case 6:
				MessageFrame.checkSize(tag, size, 8);
				decoded = LoanGrant.decodeFields(unpacker);
				unpacker.skipValue(size - 8);
				break;
			case 7:
				MessageFrame.checkSize(tag, size, 5);
				decoded = OperationClaim.decodeFields(unpacker);
				unpacker.skipValue(size - 5);
				break;
			case 8:
				MessageFrame.checkSize(tag, size, 4);
				decoded = OperationVerdict.decodeFields(unpacker);
				unpacker.skipValue(size - 4);
				break;
			case 9:
				MessageFrame.checkSize(tag, size, 4);
				decoded = OperationRelease.decodeFields(unpacker);
				unpacker.skipValue(size - 4);
				break;
			case 10:
				MessageFrame.checkSize(tag, size, 3);
				decoded = LeaseRelay.decodeFields(unpacker);
				unpacker.skipValue(size - 3);
				break;
			case 11:
				MessageFrame.checkSize(tag, size, 3);
				decoded = LeaseRelayed.decodeFields(unpacker);
				unpacker.skipValue(size - 3);
				break;
			case 12:
				MessageFrame.checkSize(tag, size, 2);
				decoded = BackendLeaving.decodeFields(unpacker);
				unpacker.skipValue(size - 2);
				break;
			case 13:
				MessageFrame.checkSize(tag, size, 8);
				decoded = GatewayReport.decodeFields(unpacker);
				unpacker.skipValue(Math.max(0, size - 9));
				break;
			case 14:
				MessageFrame.checkSize(tag, size, 3);
				decoded = RelayedReports.decodeFields(unpacker);
				unpacker.skipValue(size - 3);
				break;
			case 15:
				MessageFrame.checkSize(tag, size, 6);
				decoded = StoreChanges.decodeFields(unpacker);
				unpacker.skipValue(size - 6);
				break;
			default:
				throw new MalformedMessageException("unknown message tag " + tag);
		}
		return decoded;
	}

	/**
	 * The first message on every peer connection, sent by both ends.
	 *
	 * @param protocolVersion the version of the peer protocol that the sender speaks
	 * @param host the configured name of the sending entry host
	 * @param incarnation the identifier of the sending process, unique to each start
	 */
	record Greeting(int protocolVersion, String host, String incarnation) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(4);
			packer.packInt(1);
			packer.packInt(this.protocolVersion);
			packer.packString(this.host);
			packer.packString(this.incarnation);
		}

		private static Greeting decodeFields(MessageUnpacker unpacker) throws IOException {
			int protocolVersion = unpacker.unpackInt();
			String host = unpacker.unpackString();
			String incarnation = unpacker.unpackString();
			return new Greeting(protocolVersion, host, incarnation);
		}
	}

	/**
	 * A periodic heartbeat with a summary of the sender's state.
	 *
	 * @param sequence the number of this heartbeat on the connection
	 * @param echo the sequence of the last heartbeat received from the receiver of this
	 * one, or zero
	 * @param revision the configuration revision in force at the sender, or zero
	 * @param storeAgeMillis the milliseconds since the last contact of the sender or one
	 * of its peers with the store
	 * @param leaving whether the sender is shutting down
	 * @param load the number of requests in flight at the sender
	 * @param epoch the epoch in which operations begin that the sender owns
	 * @param storeCallAgeMillis the milliseconds since the store last responded to a
	 * lease call of the sender or one of its peers, or -1 if the sender started too
	 * recently to know
	 */
	record Heartbeat(long sequence, long echo, long revision, long storeAgeMillis, boolean leaving, double load,
			long epoch, long storeCallAgeMillis) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(9);
			packer.packInt(2);
			packer.packLong(this.sequence);
			packer.packLong(this.echo);
			packer.packLong(this.revision);
			packer.packLong(this.storeAgeMillis);
			packer.packBoolean(this.leaving);
			packer.packDouble(this.load);
			packer.packLong(this.epoch);
			packer.packLong(this.storeCallAgeMillis);
		}

		private static Heartbeat decodeFields(MessageUnpacker unpacker) throws IOException {
			long sequence = unpacker.unpackLong();
			long echo = unpacker.unpackLong();
			long revision = unpacker.unpackLong();
			long storeAgeMillis = unpacker.unpackLong();
			boolean leaving = unpacker.unpackBoolean();
			double load = unpacker.unpackDouble();
			long epoch = unpacker.unpackLong();
			long storeCallAgeMillis = unpacker.unpackLong();
			return new Heartbeat(sequence, echo, revision, storeAgeMillis, leaving, load, epoch, storeCallAgeMillis);
		}
	}

	/**
	 * Asks the receiver for the configuration that it has in force.
	 *
	 * @param revision the revision that the sender already has, or zero
	 */
	record ConfigurationQuery(long revision) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(2);
			packer.packInt(3);
			packer.packLong(this.revision);
		}

		private static ConfigurationQuery decodeFields(MessageUnpacker unpacker) throws IOException {
			long revision = unpacker.unpackLong();
			return new ConfigurationQuery(revision);
		}
	}

	/**
	 * Contains a complete configuration document.
	 *
	 * @param revision the revision of the document in the store
	 * @param document the document as UTF-8 text
	 */
	record ConfigurationPush(long revision, byte[] document) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(3);
			packer.packInt(4);
			packer.packLong(this.revision);
			packer.packBinaryHeader(this.document.length);
			packer.writePayload(this.document);
		}

		private static ConfigurationPush decodeFields(MessageUnpacker unpacker) throws IOException {
			long revision = unpacker.unpackLong();
			byte[] document = MessageFrame.readBytes(unpacker);
			return new ConfigurationPush(revision, document);
		}
	}

	/**
	 * Requests a loan of a part of the receiver's share of a limit.
	 *
	 * @param loan the identifier of the loan, never used before by the sender's process
	 * or a previous one
	 * @param limit the identifier of the limit
	 * @param revision the configuration revision by which the shares were divided
	 * @param former the identifier of the loan that this one replaces, or zero
	 * @param demand the sender's demand in units per second
	 * @param rate the rate that the sender has in addition to the replaced loan, in units
	 * per second
	 * @param burst the burst that the sender has in addition to the replaced loan, in
	 * units
	 * @param tokens the tokens that the sender needs immediately; if above zero, only
	 * these are requested
	 * @param termMillis the longest term of the loan in milliseconds
	 */
	record LoanRequest(long loan, String limit, long revision, long former, double demand, double rate, double burst,
			double tokens, long termMillis) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(10);
			packer.packInt(5);
			packer.packLong(this.loan);
			packer.packString(this.limit);
			packer.packLong(this.revision);
			packer.packLong(this.former);
			packer.packDouble(this.demand);
			packer.packDouble(this.rate);
			packer.packDouble(this.burst);
			packer.packDouble(this.tokens);
			packer.packLong(this.termMillis);
		}

		private static LoanRequest decodeFields(MessageUnpacker unpacker) throws IOException {
			long loan = unpacker.unpackLong();
			String limit = unpacker.unpackString();
			long revision = unpacker.unpackLong();
			long former = unpacker.unpackLong();
			double demand = unpacker.unpackDouble();
			double rate = unpacker.unpackDouble();
			double burst = unpacker.unpackDouble();
			double tokens = unpacker.unpackDouble();
			long termMillis = unpacker.unpackLong();
			return new LoanRequest(loan, limit, revision, former, demand, rate, burst, tokens, termMillis);
		}
	}

	/**
	 * Replies to a loan request; a grant of zero refuses it.
	 *
	 * @param loan the identifier of the loan
	 * @param limit the identifier of the limit
	 * @param revision the configuration revision by which the shares were divided
	 * @param rate the lent rate in units per second
	 * @param burst the lent burst in units
	 * @param tokens the tokens transferred immediately, at most the lent burst
	 * @param termMillis the term of the loan in milliseconds, which the borrower counts
	 * from the time of its request
	 */
	record LoanGrant(long loan, String limit, long revision, double rate, double burst, double tokens,
			long termMillis) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(8);
			packer.packInt(6);
			packer.packLong(this.loan);
			packer.packString(this.limit);
			packer.packLong(this.revision);
			packer.packDouble(this.rate);
			packer.packDouble(this.burst);
			packer.packDouble(this.tokens);
			packer.packLong(this.termMillis);
		}

		private static LoanGrant decodeFields(MessageUnpacker unpacker) throws IOException {
			long loan = unpacker.unpackLong();
			String limit = unpacker.unpackString();
			long revision = unpacker.unpackLong();
			double rate = unpacker.unpackDouble();
			double burst = unpacker.unpackDouble();
			double tokens = unpacker.unpackDouble();
			long termMillis = unpacker.unpackLong();
			return new LoanGrant(loan, limit, revision, rate, burst, tokens, termMillis);
		}
	}

	/**
	 * Asks the owner of an operation for the right to run it.
	 *
	 * @param claim the identifier of the claim, unique within the sender's incarnation
	 * @param organisation the organisation whose key authenticated the request
	 * @param operation the idempotency key of the request
	 * @param fingerprint a digest of the request
	 */
	record OperationClaim(long claim, String organisation, String operation, long fingerprint) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(5);
			packer.packInt(7);
			packer.packLong(this.claim);
			packer.packString(this.organisation);
			packer.packString(this.operation);
			packer.packLong(this.fingerprint);
		}

		private static OperationClaim decodeFields(MessageUnpacker unpacker) throws IOException {
			long claim = unpacker.unpackLong();
			String organisation = unpacker.unpackString();
			String operation = unpacker.unpackString();
			long fingerprint = unpacker.unpackLong();
			return new OperationClaim(claim, organisation, operation, fingerprint);
		}
	}

	/**
	 * Replies to an operation claim.
	 *
	 * @param claim the identifier of the claim
	 * @param verdict the name of the verdict
	 * @param incarnation the identifier of the process that made the claim
	 */
	record OperationVerdict(long claim, String verdict, String incarnation) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(4);
			packer.packInt(8);
			packer.packLong(this.claim);
			packer.packString(this.verdict);
			packer.packString(this.incarnation);
		}

		private static OperationVerdict decodeFields(MessageUnpacker unpacker) throws IOException {
			long claim = unpacker.unpackLong();
			String verdict = unpacker.unpackString();
			String incarnation = unpacker.unpackString();
			return new OperationVerdict(claim, verdict, incarnation);
		}
	}

	/**
	 * Reports to the owner that a granted operation was certainly not run.
	 *
	 * @param claim the identifier of the granted claim
	 * @param organisation the organisation whose key authenticated the request
	 * @param operation the idempotency key of the request
	 */
	record OperationRelease(long claim, String organisation, String operation) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(4);
			packer.packInt(9);
			packer.packLong(this.claim);
			packer.packString(this.organisation);
			packer.packString(this.operation);
		}

		private static OperationRelease decodeFields(MessageUnpacker unpacker) throws IOException {
			long claim = unpacker.unpackLong();
			String organisation = unpacker.unpackString();
			String operation = unpacker.unpackString();
			return new OperationRelease(claim, organisation, operation);
		}
	}

	/**
	 * Asks the receiver to renew the sender's lease at the store.
	 *
	 * @param relay the identifier of this relay request
	 * @param lease the identifier of the lease at the store
	 */
	record LeaseRelay(long relay, long lease) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(3);
			packer.packInt(10);
			packer.packLong(this.relay);
			packer.packLong(this.lease);
		}

		private static LeaseRelay decodeFields(MessageUnpacker unpacker) throws IOException {
			long relay = unpacker.unpackLong();
			long lease = unpacker.unpackLong();
			return new LeaseRelay(relay, lease);
		}
	}

	/**
	 * Replies to a lease relay with the result of the renewal.
	 *
	 * @param relay the identifier of the relay request
	 * @param renewed whether the store renewed the lease
	 */
	record LeaseRelayed(long relay, boolean renewed) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(3);
			packer.packInt(11);
			packer.packLong(this.relay);
			packer.packBoolean(this.renewed);
		}

		private static LeaseRelayed decodeFields(MessageUnpacker unpacker) throws IOException {
			long relay = unpacker.unpackLong();
			boolean renewed = unpacker.unpackBoolean();
			return new LeaseRelayed(relay, renewed);
		}
	}

	/**
	 * Reports that a backend server asked for no new work.
	 *
	 * @param server the configured name of the backend server
	 */
	record BackendLeaving(String server) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(2);
			packer.packInt(12);
			packer.packString(this.server);
		}

		private static BackendLeaving decodeFields(MessageUnpacker unpacker) throws IOException {
			String server = unpacker.unpackString();
			return new BackendLeaving(server);
		}
	}

	/**
	 * A periodic report of a gateway: its known state of the store and the demand of its
	 * callers.
	 *
	 * @param planVersion the version of the traffic plan in force at the sender, or -1
	 * @param storePosition the store revision up to which the sender has seen all changes
	 * @param evacuated the evacuated data centres, separated by commas
	 * @param leaving whether the sender takes no new callers
	 * @param ready whether the sender serves callers
	 * @param admitted the number of requests per organisation that the sender has
	 * admitted since its start, for organisations whose number changed since the previous
	 * report or, periodically, for all
	 * @param refused the number of requests per organisation that the sender has refused
	 * since its start because of the rate limit, for organisations whose number changed
	 * since the previous report
	 * @param ownShares the fraction of each service's objects that the sender's region
	 * serves itself, in per mille, once there was traffic
	 */
	record GatewayReport(long planVersion, long storePosition, String evacuated, boolean leaving, boolean ready,
			Map<String, Long> admitted, Map<String, Long> refused, Map<String, Long> ownShares) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(9);
			packer.packInt(13);
			packer.packLong(this.planVersion);
			packer.packLong(this.storePosition);
			packer.packString(this.evacuated);
			packer.packBoolean(this.leaving);
			packer.packBoolean(this.ready);
			MessageFrame.packCounts(packer, this.admitted);
			MessageFrame.packCounts(packer, this.refused);
			MessageFrame.packCounts(packer, this.ownShares);
		}

		private static GatewayReport decodeFields(MessageUnpacker unpacker) throws IOException {
			long planVersion = unpacker.unpackLong();
			long storePosition = unpacker.unpackLong();
			String evacuated = unpacker.unpackString();
			boolean leaving = unpacker.unpackBoolean();
			boolean ready = unpacker.unpackBoolean();
			Map<String, Long> admitted = MessageFrame.readCounts(unpacker);
			Map<String, Long> refused = MessageFrame.readCounts(unpacker);
			Map<String, Long> ownShares = unpacker.hasNext() ? MessageFrame.readCounts(unpacker) : Map.of();
			return new GatewayReport(planVersion, storePosition, evacuated, leaving, ready, admitted, refused,
					ownShares);
		}
	}

	/**
	 * Reports of several gateways, or of the sender alone, in a fleet whose reports are
	 * relayed.
	 *
	 * @param scope what the reports are of: 0 for the sender alone, 1 for its region, 2
	 * for all regions
	 * @param reports the reports, each with its origin, number and age
	 */
	record RelayedReports(int scope, byte[] reports) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(3);
			packer.packInt(14);
			packer.packInt(this.scope);
			packer.packBinaryHeader(this.reports.length);
			packer.writePayload(this.reports);
		}

		private static RelayedReports decodeFields(MessageUnpacker unpacker) throws IOException {
			int scope = unpacker.unpackInt();
			byte[] reports = MessageFrame.readBytes(unpacker);
			return new RelayedReports(scope, reports);
		}
	}

	/**
	 * Changes of the store that a relay has read, for the gateways of its region.
	 *
	 * @param after the store revision after which the changes begin
	 * @param position the store revision up to which the changes are complete
	 * @param recovered whether the store has just recovered for the sender
	 * @param items the changed items, each with its key and its value, or nil if it was
	 * deleted
	 * @param confirmed the identifiers of the backend servers that wrote their entry
	 * again unchanged, separated by spaces
	 */
	record StoreChanges(long after, long position, boolean recovered, byte[] items,
			String confirmed) implements Message {
		@Override
		public void encode(MessagePacker packer) throws IOException {
			packer.packArrayHeader(6);
			packer.packInt(15);
			packer.packLong(this.after);
			packer.packLong(this.position);
			packer.packBoolean(this.recovered);
			packer.packBinaryHeader(this.items.length);
			packer.writePayload(this.items);
			packer.packString(this.confirmed);
		}

		private static StoreChanges decodeFields(MessageUnpacker unpacker) throws IOException {
			long after = unpacker.unpackLong();
			long position = unpacker.unpackLong();
			boolean recovered = unpacker.unpackBoolean();
			byte[] items = MessageFrame.readBytes(unpacker);
			String confirmed = unpacker.unpackString();
			return new StoreChanges(after, position, recovered, items, confirmed);
		}
	}

}

package io.masticlane.configuration;

/**
 * An entry host and the addresses of its daemon for callers, other entry hosts and
 * operators.
 *
 * @param name the name of the entry host
 * @param dataCentre the data centre in which it is located
 * @param callerAddress the address for callers
 * @param peerAddress the address for other entry hosts
 * @param operatorAddress the address for operators
 */
public record EntryHost(String name, String dataCentre, String callerAddress, String peerAddress,
		String operatorAddress) {

	/**
	 * Creates a new entry host.
	 * @param name the name of the entry host
	 * @param dataCentre the data centre in which it is located
	 * @param callerAddress the address for callers
	 * @param peerAddress the address for other entry hosts
	 * @param operatorAddress the address for operators
	 */
	public EntryHost {
		Check.name("entryHosts.name", name);
		Check.name("entryHosts.dataCentre", dataCentre);
		Check.address("entryHosts.callerAddress", callerAddress);
		Check.address("entryHosts.peerAddress", peerAddress);
		Check.address("entryHosts.operatorAddress", operatorAddress);
	}

}

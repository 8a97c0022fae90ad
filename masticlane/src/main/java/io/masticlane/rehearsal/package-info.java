/**
 * A run of gateways without the platform's store. It loads the classes for the class data
 * sharing (CDS) archive that the build creates.
 */
package io.masticlane.rehearsal;

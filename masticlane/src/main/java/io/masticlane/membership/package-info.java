/**
 * The responsive entry hosts and the state that they last reported.
 */
package io.masticlane.membership;

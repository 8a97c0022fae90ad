/**
 * Which requests are refused at once, when they may return, and how many are retried.
 */
package io.masticlane.admission;

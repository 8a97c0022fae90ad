/**
 * The scripts of the review, with small stand-ins for the store, instances and callers.
 */
package io.masticlane.review;

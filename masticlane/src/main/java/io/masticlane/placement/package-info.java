/**
 * Selection of the backend server for a request: preferably one that recently served the
 * request's object, as far as its load permits.
 */
package io.masticlane.placement;

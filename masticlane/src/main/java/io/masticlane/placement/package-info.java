/**
 * Which backend server gets a request: the one that served its object lately, while its
 * load allows.
 */
package io.masticlane.placement;

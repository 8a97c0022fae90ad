/**
 * The operators' library: immutable descriptions of a deployment and their printed
 * document.
 */
package io.masticlane.configuration;

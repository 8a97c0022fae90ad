/**
 * The traffic plan of gateways: routes, organisations, services and limits of callers.
 */
package io.masticlane.plan;

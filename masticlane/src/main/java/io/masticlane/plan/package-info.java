/**
 * The traffic plan of gateways: routes, organisations, services and limits for callers.
 */
package io.masticlane.plan;

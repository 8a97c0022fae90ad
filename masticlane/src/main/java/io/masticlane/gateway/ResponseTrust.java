package io.masticlane.gateway;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decides whether a response is certainly its server's own and to its request.
 */
final class ResponseTrust {

	private ResponseTrust() {
	}

	/**
	 * Returns whether a response names another request than the one it arrived for.
	 * @param request the request
	 * @param parsed the values of the response's head
	 * @return whether the response is to another request
	 */
	static boolean isForeign(AdmittedRequest request, Dialect.ServerResponse parsed) {
		return request.isIdentified() && parsed.id().isPresent() && !parsed.id().get().equals(request.headers().id());
	}

	/**
	 * Returns whether a response is trusted. A refusal without an identifier may repeat
	 * the one of an earlier request, unless this is the connection's first request.
	 * @param request the request
	 * @param response the response
	 * @param parsed the values of the response's head
	 * @param reusedConnection whether the connection carried an earlier request
	 * @return whether the response is trusted
	 */
	static boolean isTrusted(AdmittedRequest request, FullHttpResponse response, Dialect.ServerResponse parsed,
			boolean reusedConnection) {
		if (parsed.notRun()) {
			return parsed.id().isPresent() || !reusedConnection;
		}
		boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
		return !parsed.encoded() && (parsed.id().isPresent() || !request.isIdentified())
				&& (parsed.signed() || !success);
	}

}

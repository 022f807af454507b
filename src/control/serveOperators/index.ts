import { Address, DEFAULT_HTTP_LIMITS, Http, Listener } from "../../ports/index.js";
import { OperatorContext, operatorRouter } from "../operatorRouter/index.js";
import { createTrpcHandler } from "../trpcHttp/index.js";

/**
 * Serves the operators' API of a control process.
 *
 * @param address - Listen address.
 * @throws NetworkError when the address is in use.
 * @example
 * const listener = await serveOperators(http, address, { log, state, service, operatorAddresses });
 */
export function serveOperators(http: Http, address: Address, context: OperatorContext): Promise<Listener> {
    return http.serve(address, DEFAULT_HTTP_LIMITS, createTrpcHandler(operatorRouter, () => context));
}

import { Either } from "purify-ts";
import { Http, HttpCall, HttpError, HttpHandler, HttpLimits, HttpListener, HttpReply } from "../http/index.js";
import { Address } from "../network/index.js";
import { NodeHttpClient } from "../nodeHttpClient/index.js";
import { serveNodeHttp } from "../nodeHttpServer/index.js";

/**
 * HTTP server and client on `node:http`.
 *
 * @example
 * const http = new NodeHttp();
 */
export class NodeHttp extends Http {
    private readonly client = new NodeHttpClient();

    serve(address: Address, limits: HttpLimits, handler: HttpHandler): Promise<HttpListener> {
        return serveNodeHttp(address, limits, handler);
    }

    send(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        return this.client.send(call);
    }
}

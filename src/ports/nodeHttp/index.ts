import { Either } from "purify-ts";
import { CallerBudget } from "../callerBudget/index.js";
import { ServerResources } from "../connectionIntake/index.js";
import { Http, HttpCall, HttpError, HttpHandler, HttpLimits, HttpListener, HttpReply } from "../http/index.js";
import { Address } from "../network/index.js";
import { NodeHttpClient } from "../nodeHttpClient/index.js";
import { serveNodeHttp } from "../nodeHttpServer/index.js";
import { ReceivedGarbage } from "../receivedGarbage/index.js";
import { TurnQueue } from "../turnQueue/index.js";

const UNBOUNDED = new CallerBudget({ bytes: Number.POSITIVE_INFINITY }, () => performance.now());

/**
 * HTTP server and client on `node:http`.
 *
 * @example
 * const http = new NodeHttp(budget);
 */
export class NodeHttp extends Http {
    private readonly client: NodeHttpClient;
    private readonly resources: ServerResources;

    /** @param budget - Bounds what the callers of all its servers hold together; without it nothing does. */
    constructor(budget = UNBOUNDED) {
        super();
        this.resources = { budget, queue: new TurnQueue(), garbage: new ReceivedGarbage() };
        this.client = new NodeHttpClient(this.resources.garbage);
    }

    serve(address: Address, limits: HttpLimits, handler: HttpHandler): Promise<HttpListener> {
        return serveNodeHttp(address, limits, handler, this.resources);
    }

    send(call: HttpCall): Promise<Either<HttpError, HttpReply>> {
        return this.client.send(call);
    }
}

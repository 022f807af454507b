import { Either } from "purify-ts";
import { Http, HttpError, HttpReply } from "../../ports/index.js";
import { UpstreamCall } from "../../upstream/index.js";
import { SilenceWatch } from "../silenceWatch/index.js";

/** How far a request has got: on a kept connection, on one that is being opened, or on one that was opened for it. */
export type ConnectionState = "kept" | "opening" | "open";

/**
 * Sends requests to upstreams from this host, and tells the silence watch what is awaited and heard.
 *
 * @example
 * const sent = await sender.send(call, state => recordState(state));
 */
export class DirectSender {
    constructor(private readonly http: Http, private readonly silence: SilenceWatch) {}

    /** @param onConnection - Called with each change of the connection's state; not for a kept connection. */
    async send(
        { target, deadlineHeader: _deadline, onRelay: _onRelay, ...call }: UpstreamCall,
        onConnection: (state: ConnectionState) => void,
    ): Promise<Either<HttpError, HttpReply>> {
        const stop = this.silence.expect(target);
        const sent = await this.http.send({ ...call, address: target.address, onConnection });
        sent.ifLeft(stop);
        return sent.map(reply => this.observe(reply, stop));
    }

    private observe(reply: HttpReply, stop: () => void): HttpReply {
        this.silence.recordHeard();
        const reset = (): void => {
            stop();
            reply.reset();
        };
        return { ...reply, reset, body: this.observeBody(reply.body, stop) };
    }

    private async *observeBody(body: AsyncIterable<Uint8Array>, stop: () => void): AsyncIterable<Uint8Array> {
        try {
            for await (const chunk of body) {
                this.silence.recordHeard();
                yield chunk;
            }
        }
        finally {
            stop();
        }
    }
}

import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { Logger, RejectionLog } from "../../logging/index.js";
import { Metrics } from "../../metrics/index.js";
import { Address, Clock, Http, HttpReply, readReplyText, readWithin } from "../../ports/index.js";
import { Offer, offerSchema, PLATFORM_PATHS, readEntries } from "../../protocol/index.js";

const CONNECT_TIMEOUT_MS = 2_000;
/** Timeout for the headers, and for the body after them, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 5_000;
const STATUS_OK = 200;
const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** The platform's offers could not be fetched or parsed. */
export class OfferError extends Error {}

/** Options of `OfferReader`. */
export interface OfferReaderOptions {
    readonly logger: Logger;
    /** Receives the number of rejected offers; undefined: none is recorded. */
    readonly metrics?: Metrics;
    /** Timeout for the headers, and for the body after them, in milliseconds. */
    readonly timeoutMs?: number;
}

/** Fetches the upstreams that the platform offers. */
export class OfferReader {
    private readonly timeoutMs: number;
    private readonly rejections: RejectionLog;

    constructor(
        private readonly http: Http,
        private readonly clock: Clock,
        private readonly platform: Address,
        { logger, metrics, timeoutMs = DEFAULT_TIMEOUT_MS }: OfferReaderOptions,
    ) {
        this.timeoutMs = timeoutMs;
        this.rejections = new RejectionLog({ clock, logger, metrics });
    }

    /** Fetches the offers over a fresh connection. */
    async read(): Promise<Either<OfferError, readonly Offer[]>> {
        const sent = await this.http.send({
            address: this.platform,
            method: "GET",
            path: PLATFORM_PATHS.offers,
            headers: [],
            newConnection: true,
            connectTimeoutMs: CONNECT_TIMEOUT_MS,
            headTimeoutMs: this.timeoutMs,
        });
        const reply = sent.toMaybe().extract();
        if (!reply) return Left(new OfferError("no answer"));
        if (reply.status !== STATUS_OK) {
            reply.reset();
            return Left(new OfferError(`status ${reply.status}`));
        }
        return this.readOffers(reply);
    }

    private async readOffers(reply: HttpReply): Promise<Either<OfferError, readonly Offer[]>> {
        const readText = (): Promise<string> => readReplyText(reply, MAX_BODY_BYTES);
        try {
            const text = await readWithin(reply, this.clock, this.timeoutMs, readText);
            const { entries, rejected, problem = "" } = readEntries(
                offerSchema,
                z.array(z.unknown()).parse(JSON.parse(text)),
            );
            if (rejected > 0) this.rejections.record("offers", rejected, problem);
            return Right(entries);
        }
        catch (err) {
            return Left(new OfferError(`invalid response: ${(err as Error).message}`));
        }
    }
}

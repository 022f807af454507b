import { Either, Left, Right } from "purify-ts";
import * as z from "zod";
import { Address, Http, HttpReply, readReplyText } from "../../ports/index.js";
import { Offer, offerSchema, PLATFORM_PATHS } from "../../protocol/index.js";

const CONNECT_MS = 2_000;
const HEAD_MS = 5_000;
const STATUS_OK = 200;
const MOST_BYTES = 4 * 1024 * 1024;

/** The platform's offers could not be read. */
export class OfferError extends Error {}

/** Reads what the platform offers. */
export class OfferReader {
    constructor(private readonly http: Http, private readonly platform: Address) {}

    /** Asks the platform over a fresh connection. */
    async read(): Promise<Either<OfferError, readonly Offer[]>> {
        const sent = await this.http.send({
            address: this.platform,
            method: "GET",
            path: PLATFORM_PATHS.offers,
            headers: [],
            fresh: true,
            connectTimeoutMs: CONNECT_MS,
            headTimeoutMs: HEAD_MS,
        });
        const reply = sent.toMaybe().extract();
        if (!reply) return Left(new OfferError("no answer"));
        if (reply.status !== STATUS_OK) {
            reply.reset();
            return Left(new OfferError(`status ${reply.status}`));
        }
        return readOffers(reply);
    }
}

async function readOffers(reply: HttpReply): Promise<Either<OfferError, readonly Offer[]>> {
    try {
        return Right(z.array(offerSchema).parse(JSON.parse(await readReplyText(reply, MOST_BYTES))));
    }
    catch (err) {
        return Left(new OfferError(`not to be read: ${(err as Error).message}`));
    }
}

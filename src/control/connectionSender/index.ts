import { Either, Left, Right } from "purify-ts";
import { Clock, Connection, Network } from "../../ports/index.js";
import { formatPost } from "../_lib/formatPost.js";
import { FencedCall, FencedReply, FencedSender, FencedSendError } from "../fencedSender/index.js";
import { ReplyParser } from "../replyParser/index.js";

const CONNECT_TIMEOUT_MS = 2_000;
/** Time without a complete response after which the connection is reset and the kernel's send buffer dropped, in milliseconds. */
const DEFAULT_MAX_DELIVERY_MS = 5_000;

/**
 * Sends over the `Network` port, with a fresh connection for each request.
 *
 * Prevents orders from arriving after their sender was deposed, in two ways. A library that decides itself when to write could write
 * after the lease has ended, for instance when a frozen process resumes; here the connection is opened first, and the check and the
 * write happen in one synchronous step. The kernel of an isolated host would deliver its send buffer once the partition heals, minutes
 * later; a reset discards the buffer, which a plain close would not.
 *
 * @example
 * const sender = new ConnectionSender(network, clock);
 */
export class ConnectionSender extends FencedSender {
    private readonly openConnections = new Set<Connection>();

    constructor(
        private readonly network: Network,
        private readonly clock: Clock,
        readonly maxDeliveryMs = DEFAULT_MAX_DELIVERY_MS,
    ) {
        super();
    }

    async send(call: FencedCall, maySend: () => boolean): Promise<Either<FencedSendError, FencedReply>> {
        const bytes = formatPost(call);
        const connected = await this.network.connect(call.address, Math.min(CONNECT_TIMEOUT_MS, this.maxDeliveryMs));
        const connection = connected.toMaybe().extract();
        if (!connection) return Left(new FencedSendError("unreachable", false));
        if (!maySend()) {
            connection.reset();
            return Left(new FencedSendError("fenced", false));
        }
        connection.send(bytes);
        return this.awaitReply(connection);
    }

    resetAll(): void {
        for (const connection of this.openConnections) this.reset(connection);
    }

    private async awaitReply(connection: Connection): Promise<Either<FencedSendError, FencedReply>> {
        let reason: "lost" | "timeout" = "lost";
        this.openConnections.add(connection);
        const timer = this.clock.after(this.maxDeliveryMs, () => {
            reason = "timeout";
            this.reset(connection);
        });
        const reply = await readReply(connection);
        timer.cancel();
        // A response that ends with its connection is not complete when this end has reset it.
        const isWhole = reply !== undefined && this.openConnections.has(connection);
        this.reset(connection);
        return isWhole ? Right(reply) : Left(new FencedSendError(reason, true));
    }

    private reset(connection: Connection): void {
        this.openConnections.delete(connection);
        connection.reset();
    }
}

async function readReply(connection: Connection): Promise<FencedReply | undefined> {
    const parser = new ReplyParser();
    try {
        for (;;) {
            const chunk = await connection.receive();
            if (!chunk) return parser.end();
            const reply = parser.push(chunk);
            if (reply) return reply;
        }
    }
    catch {
        // Invalid HTTP is treated like a missing response.
        return undefined;
    }
}

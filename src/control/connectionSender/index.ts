import { Either, Left, Right } from "purify-ts";
import { Clock, Connection, Network } from "../../ports/index.js";
import { formatPost, parseReply } from "../_lib/httpMessage.js";
import { FencedCall, FencedReply, FencedSender, FencedSendError } from "../fencedSender/index.js";

const CONNECT_MS = 2_000;
/** After this long without a whole answer the connection is reset, with what the kernel still holds. */
const DEFAULT_FLIGHT_MS = 5_000;
const MAX_REPLY_BYTES = 4 * 1024 * 1024;

/**
 * Sends over the Network port, one fresh connection for each request.
 *
 * Guards against an order that arrives after its sender was deposed, in two places. A library that writes when it sees fit could
 * write after the lease has ended, for instance when a frozen process wakes: here the connection is opened first, and the check and
 * the write stand in one synchronous step. And the kernel of an isolated host would deliver what is in its send buffer
 * once the partition heals, minutes later: a reset throws the buffer away, where a plain close would not.
 *
 * @example
 * const sender = new ConnectionSender(network, clock);
 */
export class ConnectionSender extends FencedSender {
    private readonly open = new Set<Connection>();

    constructor(
        private readonly network: Network,
        private readonly clock: Clock,
        readonly flightMs = DEFAULT_FLIGHT_MS,
    ) {
        super();
    }

    async send(call: FencedCall, mayLeave: () => boolean): Promise<Either<FencedSendError, FencedReply>> {
        const bytes = formatPost(call);
        const connected = await this.network.connect(call.address, Math.min(CONNECT_MS, this.flightMs));
        const connection = connected.toMaybe().extract();
        if (!connection) return Left(new FencedSendError("unreachable", false));
        if (!mayLeave()) {
            connection.reset();
            return Left(new FencedSendError("fenced", false));
        }
        connection.send(bytes);
        return this.awaitReply(connection);
    }

    resetAll(): void {
        for (const connection of this.open) connection.reset();
    }

    private async awaitReply(connection: Connection): Promise<Either<FencedSendError, FencedReply>> {
        let reason: "lost" | "timeout" = "lost";
        this.open.add(connection);
        const limit = this.clock.after(this.flightMs, () => {
            reason = "timeout";
            connection.reset();
        });
        const reply = await readReply(connection);
        limit.cancel();
        this.open.delete(connection);
        connection.reset();
        return reply ? Right(reply) : Left(new FencedSendError(reason, true));
    }
}

async function readReply(connection: Connection): Promise<FencedReply | undefined> {
    let bytes = Buffer.alloc(0);
    try {
        for (;;) {
            const chunk = await connection.receive();
            if (chunk) bytes = Buffer.concat([bytes, chunk]);
            const reply = parseReply(bytes, chunk === undefined);
            if (reply || !chunk || bytes.length > MAX_REPLY_BYTES) return reply;
        }
    }
    catch {
        // Bytes that are no HTTP: as good as no answer.
        return undefined;
    }
}

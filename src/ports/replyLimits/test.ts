import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpError, HttpReply, readReplyText } from "../http/index.js";
import { NodeHttp } from "../nodeHttp/index.js";
import { SystemClock } from "../systemClock/index.js";
import { WRONG_PATH, WrongServer } from "../wrongServer/index.js";
import { discardReply, readWithin } from "./index.js";

const clock = new SystemClock();
/** Time after which a connection counts as left open, in milliseconds. */
const MAX_WAIT_MS = 20_000;
const POLL_MS = 10;
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const ENDLESS: readonly (readonly [name: string, bytes: string, endless?: string])[] = [
    ["falls silent", `${CHUNKED}5\r\nhello\r\n`],
    ["has no end", CHUNKED, "5\r\nhello\r\n"],
    ["has a chunk size without end", CHUNKED, "0".repeat(1_024)],
];

/** Sends a request, passes its response on, and returns whether the connection is closed after that. */
async function isClosedAfter(
    bytes: string,
    endless: string | undefined,
    use: (reply: HttpReply) => Promise<unknown>,
): Promise<boolean> {
    const answer = { name: "", bytes, endless, ending: "silent", isCorrect: false, hasRest: false } as const;
    const server = await WrongServer.start(answer);
    try {
        const sent = await new NodeHttp().send({
            address: server.address,
            method: "GET",
            path: WRONG_PATH,
            headers: [],
            newConnection: false,
            connectTimeoutMs: MAX_WAIT_MS,
            headTimeoutMs: MAX_WAIT_MS,
        });
        await use(sent.unsafeCoerce());
        for (let waitedMs = 0; waitedMs < MAX_WAIT_MS && server.openCount > 0; waitedMs += POLL_MS) {
            await sleep(POLL_MS);
        }
        return server.openCount === 0;
    }
    finally {
        await server.close();
    }
}

for (const [name, bytes, endless] of ENDLESS) {
    describe(`a response whose body ${name}`, () => {
        it("is discarded by closing its connection", async () => {
            // Failure: the connection stays open for good, since no call waits for the body any more.
            assert.ok(await isClosedAfter(bytes, endless, reply => discardReply(reply, clock)));
        });

        it("fails its reader in time", async () => {
            // Failure: the reader waits for good, since only the headers have a timeout.
            const read = (reply: HttpReply): Promise<void> =>
                assert.rejects(readWithin(reply, clock, 100, () => readReplyText(reply)), HttpError);
            assert.ok(await isClosedAfter(bytes, endless, read));
        });
    });
}

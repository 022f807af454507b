import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { Grant, NoSendGuard } from "../../dispatch/index.js";
import { ConnectionUse, HeaderList, HttpReply, VirtualClock } from "../../ports/index.js";
import { REQUEST_ID_HEADER } from "../../protocol/index.js";
import { RunningRequest } from "../../request/index.js";
import { DEFAULT_ENTRY_LIMITS, EntryContext } from "../entryContext/index.js";
import { PreparedService } from "../prepareService/index.js";
import { sendService } from "./index.js";

const REQUEST = "request-1";
const NEW: ConnectionUse = { earlierRequests: 0, hasCarried: false };
const KEPT: ConnectionUse = { earlierRequests: 1, hasCarried: false };

/** Sends a call to a service that answers with some ids; returns the status that counts as its answer, and whether it was reset. */
async function send(ids: readonly string[], connection: ConnectionUse | undefined, status = 200) {
    const clock = new VirtualClock();
    let isReset = false;
    async function* body(): AsyncIterable<Uint8Array> {
        yield Buffer.from("the body");
    }
    const headers: HeaderList = ids.map(id => [REQUEST_ID_HEADER, id] as const);
    const reply: HttpReply = { status, headers, connection, body: body(), reset: () => isReset = true };
    const upstreamHttp = { send: async () => Right(reply) };
    const ctx = { clock, upstreamHttp, limits: DEFAULT_ENTRY_LIMITS, sendGuard: new NoSendGuard() };
    const run = new RunningRequest({ id: REQUEST } as never, clock);
    const prepared = { headers: [], body: new Uint8Array() } as unknown as PreparedService;
    const grant = {} as Grant;
    const sent = await sendService(ctx as unknown as EntryContext, prepared, run, grant, () => undefined);
    const answer = sent.caseOf<string | number>({
        Left: err => err.mayHaveRun ? "may have run" : "not run",
        Right: read => read.status,
    });
    return { answer, isReset };
}

describe("sendService", () => {
    it("takes an answer that names the call", async () => {
        assert.deepEqual(await send([REQUEST], KEPT), { answer: 200, isReset: false });
    });

    it("takes an answer without an id on a connection that was opened for the call", async () => {
        assert.deepEqual(await send([], NEW), { answer: 200, isReset: false });
    });

    const others: readonly (readonly [name: string, ids: readonly string[], connection: ConnectionUse | undefined])[] =
        [
            ["names no call, on a connection that has carried another", [], KEPT],
            ["names no call, on a connection whose use is not known", [], undefined],
            ["names another call", ["request-2"], NEW],
            ["names this call and another one", [REQUEST, "request-2"], NEW],
        ];
    for (const [name, ids, connection] of others) {
        for (const status of [200, 500]) {
            it(`takes no answer with status ${status} that ${name}`, async () => {
                // Failure: a caller gets the answer to another call, since it stands where its own was due.
                assert.deepEqual(await send(ids, connection, status), { answer: "may have run", isReset: true });
            });
        }
    }
});

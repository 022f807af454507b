import assert from "node:assert/strict";
import { Agent } from "node:http";
import { after, before, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { CALL_HEADERS } from "../../passthrough/index.js";
import { makeDocument, makeRoute } from "../../routing/index.js";
import {
    CallAnswer,
    exchangeCall,
    formatRawAnswer,
    RawReply,
    RawRequest,
    RawUpstream,
    RoutedProcessFleet,
} from "../index.js";

const POOL = "ledger";
const SLOTS = 4;
const ENTRIES = 2;
const WORK_MS = 20;
/** Longer than an entry waits for the owner of a queue, and shorter than the silence after which it resets their connection. */
const FREEZE_MS = 250;
const FREEZES = 20;
const BEFORE_FREEZE_MS = 40;
const CALLS_IN_FREEZE = 8 * SLOTS;
const CALL_GAP_MS = 5;
const SETTLING_MS = 1_500;
const TIMEOUT_MS = 2_000;
const START_LIMIT_MS = 20_000;
const STATUS_OK = 200;

describe("a control process that owns a queue and stands still for moments", () => {
    let fleet: RoutedProcessFleet;
    let upstream: RawUpstream;
    let sentCount = 0;
    const agent = new Agent({ keepAlive: true });

    before(async () => {
        fleet = await RoutedProcessFleet.start({ entries: ENTRIES, controls: 1 }, []);
        const route = makeRoute({ kind: "idempotent", keyless: true, attempts: 1, timeoutMs: TIMEOUT_MS });
        await fleet.applyDocument(makeDocument({ routes: [route], pools: [{ pool: POOL, connections: 100 }] }));
        upstream = await RawUpstream.start({
            id: "upstream-0",
            pool: POOL,
            zone: "vogar",
            slots: SLOTS,
            announceTo: fleet.processes.announcementAddresses,
            reply: answer,
        });
        const giveUpAt = Date.now() + START_LIMIT_MS;
        while (await send(0) !== STATUS_OK || await send(1) !== STATUS_OK) {
            assert.ok(Date.now() < giveUpAt, "no call is served");
            await sleep(CALL_GAP_MS);
        }
    });

    after(async () => {
        agent.destroy();
        await upstream.close();
        await fleet.close();
    });

    function answer({ id }: RawRequest): RawReply {
        return { bytes: formatRawAnswer({ ids: [id] }), runs: true, delayMs: WORK_MS, resets: false };
    }

    async function send(entry: number): Promise<number | undefined> {
        const request = `call-${++sentCount}`;
        const sent: CallAnswer | undefined = await exchangeCall({
            agent,
            address: fleet.processes.routeAddresses[entry],
            path: "/orders/1",
            headers: { host: "shop.example", [CALL_HEADERS.request]: request },
            body: request,
            giveUpMs: 2 * TIMEOUT_MS,
        });
        return sent?.status;
    }

    it("keeps no slot of the tickets that entries withdrew meanwhile", async () => {
        // Failure: after a few moments each slot is taken by a ticket that its entry has withdrawn, and the pool refuses everything.
        const [owner] = fleet.processes.controls;
        for (let freeze = 0; freeze < FREEZES; freeze++) {
            const calls: Promise<unknown>[] = [];
            owner.signal("SIGSTOP");
            const frozenUntil = Date.now() + FREEZE_MS;
            for (let number = 0; number < CALLS_IN_FREEZE; number++) {
                calls.push(send(number % ENTRIES));
                await sleep(CALL_GAP_MS);
            }
            await sleep(Math.max(0, frozenUntil - Date.now()));
            owner.signal("SIGCONT");
            await Promise.all(calls);
            await sleep(BEFORE_FREEZE_MS);
        }
        await sleep(SETTLING_MS);
        const statuses = await Promise.all(Array.from({ length: SLOTS }, (_, number) => send(number % ENTRIES)));
        assert.deepEqual(statuses, Array.from({ length: SLOTS }, () => STATUS_OK));
    });
});

import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { LocalDispatcher, Ticket } from "../../dispatch/index.js";
import { ClassName, HostId, PoolId, RequestId, WorkspaceId, ZoneId } from "../../ids/index.js";
import { SeededRandom, VirtualClock } from "../../ports/index.js";
import { makeAnnouncement, UpstreamRegistry } from "../../upstream/index.js";
import { PeerChannel, PeerRouter } from "../../wire/index.js";
import { DISPATCH_METHODS, TicketReply, TicketServer } from "./index.js";

const POOL = "ledger" as PoolId;
const SLOTS = 2;
/** More turns of the microtask queue than a decision takes to reach the ticket server. */
const MAX_TURNS = 8;

function makeTicket(request: string): Ticket {
    return {
        request: request as RequestId,
        origin: "entry-1" as HostId,
        workspace: "butcher" as WorkspaceId,
        className: "orders" as ClassName,
        tier: 1,
        weight: 1,
        pool: POOL,
        promptTokens: 0,
        maxTokens: 1,
        firstTokenMs: 100,
        tokenMs: 50,
        maxWaitMs: 1_000,
        guaranteedShare: 0,
        ageMs: 0,
        prefixes: [],
        resumable: false,
        repeatable: true,
        avoid: [],
        resumeOffset: 0,
    };
}

/** A channel to an entry, which the test closes. */
class TestChannel {
    isOpen = true;
    private resolveClosed: () => void = () => undefined;
    readonly closed = new Promise<void>(resolve => this.resolveClosed = resolve);

    notify(): void {}

    close(): void {
        this.isOpen = false;
        this.resolveClosed();
    }

    toChannel(): PeerChannel {
        return this as unknown as PeerChannel;
    }
}

describe("TicketServer", () => {
    const clock = new VirtualClock();
    let local: LocalDispatcher;
    let router: PeerRouter;

    function start(): void {
        const registry = new UpstreamRegistry({ clock });
        registry.announce(makeAnnouncement({ id: "u1", kind: "service", pools: [POOL], slots: SLOTS }));
        local = new LocalDispatcher({ clock, registry, random: new SeededRandom(1), zone: "vogar" as ZoneId });
        router = new PeerRouter();
        new TicketServer(local, clock, () => undefined).addTo(router);
    }

    afterEach(() => local.close());

    function submit(request: string, channel: TestChannel): Promise<TicketReply> {
        return router.find(DISPATCH_METHODS.submit)!(makeTicket(request), channel.toChannel()) as Promise<TicketReply>;
    }

    function cancel(request: string, channel: TestChannel): void {
        void router.find(DISPATCH_METHODS.cancel)!(request, channel.toChannel());
    }

    async function takeTurns(count: number): Promise<void> {
        for (let turn = 0; turn < count; turn++) await undefined;
    }

    describe("a ticket that comes once more", () => {
        it("keeps one slot, where the first was granted on a connection that its entry has given up", async () => {
            // Failure: the slot of the first grant is taken for good, since the second one has its place.
            start();
            const [first, second] = [new TestChannel(), new TestChannel()];
            await submit("a", first);
            await submit("a", second);
            assert.equal(local.countRunning(POOL), 1);
            first.close();
            await takeTurns(MAX_TURNS);
            assert.equal(local.countRunning(POOL), 1);
            second.close();
            await takeTurns(MAX_TURNS);
            assert.equal(local.countRunning(POOL), 0);
        });

        it("keeps one place in the queue, where the first has not been granted", async () => {
            start();
            const channel = new TestChannel();
            await Promise.all([submit("a", channel), submit("b", channel)]);
            const replies = [submit("c", channel), submit("c", channel)];
            await takeTurns(MAX_TURNS);
            assert.equal(local.countWaiting(POOL), 1);
            cancel("c", channel);
            await Promise.all(replies);
            assert.equal(local.countWaiting(POOL), 0);
        });
    });

    describe("a ticket that its entry withdraws", () => {
        for (let turns = 0; turns < MAX_TURNS; turns++) {
            it(`keeps no slot, ${turns} turns behind its submission`, async () => {
                // Failure: a host that stands still reads a ticket together with its withdrawal, and its slot is taken until the channel ends.
                start();
                const channel = new TestChannel();
                const reply = submit("a", channel);
                await takeTurns(turns);
                cancel("a", channel);
                await reply;
                assert.equal(local.countRunning(POOL), 0);
            });

            it(`keeps no slot, ${turns} turns behind the end of the request before it`, async () => {
                start();
                const channel = new TestChannel();
                await Promise.all([submit("a", channel), submit("b", channel)]);
                const waiting = submit("c", channel);
                await takeTurns(MAX_TURNS);
                const used = { promptTokens: 0, cachedTokens: 0, completionTokens: 0 };
                const completion = { request: "a", upstream: "u1", outcome: "answered", ...used };
                void router.find(DISPATCH_METHODS.complete)!(completion, channel.toChannel());
                await takeTurns(turns);
                cancel("c", channel);
                await waiting;
                assert.equal(local.countRunning(POOL), 1);
            });

            it(`keeps no slot, where its channel ends ${turns} turns behind its submission`, async () => {
                start();
                const channel = new TestChannel();
                const reply = submit("a", channel);
                await takeTurns(turns);
                channel.close();
                await reply;
                await takeTurns(MAX_TURNS);
                assert.equal(local.countRunning(POOL), 0);
            });
        }
    });
});

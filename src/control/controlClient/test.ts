import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Left, Right } from "purify-ts";
import { HostId, Incarnation, TemplateName, WorkspaceId } from "../../ids/index.js";
import { BeginCallResult } from "../../ledger/index.js";
import { MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerError, PeerLink, PeerRouter, servePeers } from "../../wire/index.js";
import { hashKey } from "../../workspace/index.js";
import {
    ControlClient,
    ControlService,
    ControlState,
    EntryView,
    MemoryControlLog,
    MemoryLogGroup,
    ViewCache,
} from "../index.js";

const LEASE_MS = 5_000;
const FIRST = "c1" as HostId;
const SECOND = "c2" as HostId;
const HASH = hashKey("sqm-secret");
const GRANT = { kind: "key.grant", changeId: "g", operator: "anna", workspace: "school", keyId: "k1", hash: HASH };
const WITHDRAW = { kind: "key.withdraw", changeId: "w", operator: "anna", keyId: "k1" };

/** A clock whose elapsed time can jump ahead, as after a suspension of the machine. */
class JumpingClock extends VirtualClock {
    sleptMs = 0;

    override monotonicWithSuspend(): number {
        return this.monotonic() + this.sleptMs;
    }
}

class Fleet {
    readonly clock = new JumpingClock();
    readonly fabric = new MemoryFabric(this.clock, () => 1);
    readonly group = new MemoryLogGroup(this.clock);
    readonly logs = new Map<HostId, MemoryControlLog>();
    readonly services = new Map<HostId, ControlService>();

    async start(): Promise<this> {
        for (const host of [FIRST, SECOND]) {
            const state = new ControlState();
            const log = this.group.join(host, state);
            const router = new PeerRouter();
            this.logs.set(host, log);
            this.services.set(
                host,
                new ControlService({ log, state, clock: this.clock, router, viewLeaseMs: LEASE_MS }),
            );
            await servePeers({
                network: this.fabric.network(host),
                clock: this.clock,
                address: { host, port: 1 },
                self: { host, incarnation: "1" as Incarnation },
                router,
                timing: DEFAULT_PEER_TIMING,
            });
        }
        this.group.elect(FIRST);
        await this.change(FIRST, {
            kind: "template.put",
            changeId: "t",
            operator: "anna",
            name: "t" as TemplateName,
            base: 0,
            spec: {
                parameters: [],
                weight: 1,
                classes: [{ name: "sheet", tier: 0, firstTokenMs: 1, tokenMs: 1, maxWaitMs: 1, guaranteedShare: 0 }],
                defaultClass: "sheet",
                pools: [],
                nonRepeatable: [],
            },
        });
        const id = "school" as WorkspaceId;
        await this.change(FIRST, {
            kind: "workspace.create",
            changeId: "s",
            operator: "anna",
            id,
            template: "t",
            parameters: [],
        });
        await this.change(FIRST, GRANT);
        return this;
    }

    async change(host: HostId, change: object): Promise<number> {
        const result = (await this.logs.get(host)!.propose(change)).unsafeCoerce() as { readonly revision: number; };
        return result.revision;
    }

    startEntry(host: string) {
        const { clock, fabric } = this;
        const abort = new AbortController();
        const links = [FIRST, SECOND].map(control =>
            new PeerLink({
                network: fabric.network(host),
                clock,
                random: new SeededRandom(1),
                address: { host: control, port: 1 },
                self: { host: host as HostId, incarnation: "1" as Incarnation },
                router: new PeerRouter(),
                timing: DEFAULT_PEER_TIMING,
            })
        );
        const cache = new ViewCache();
        const self = { host, incarnation: "1", zone: "vogar", peerAddress: `${host}:1` };
        const client = new ControlClient({ links, clock, random: new SeededRandom(2), self, cache });
        for (const link of links) void link.run(abort.signal);
        void client.run(abort.signal);
        return { client, cache };
    }

    /** Measures the time until a change is in force, in milliseconds; undefined when it exceeds the limit. */
    async measureTimeToForce(host: HostId, revision: number, limitMs: number): Promise<number | undefined> {
        const from = this.clock.monotonic();
        const done = this.services.get(host)!.awaitInForce(revision, limitMs);
        const inForce = await this.clock.runUntil(done, limitMs + 1_000);
        return inForce ? this.clock.monotonic() - from : undefined;
    }
}

function sortByHost(entries: readonly EntryView[]): EntryView[] {
    return [...entries].sort((a, b) => a.host < b.host ? -1 : 1);
}

describe("ControlClient", () => {
    describe("a withdrawn key", () => {
        it("stops working on connected entries at once, and is reported as in force", async () => {
            const fleet = await new Fleet().start();
            const { client, cache } = fleet.startEntry("e1");
            await fleet.clock.advance(6_000);
            assert.ok(client.isFresh());
            assert.equal(cache.findByKey(HASH)?.id, "school");
            const revision = await fleet.change(FIRST, WITHDRAW);
            const took = await fleet.measureTimeToForce(FIRST, revision, 6_000);
            assert.ok(took !== undefined && took <= 50, `${took} ms`);
            assert.equal(cache.findByKey(HASH), undefined);
        });

        it("is in force once the view of a partitioned entry is stale, and not before", async () => {
            // The holder must wait for an entry that does not reply: otherwise it would report the withdrawal as in force while the key still
            // works on that partitioned entry.
            const fleet = await new Fleet().start();
            const { client, cache } = fleet.startEntry("e1");
            await fleet.clock.advance(6_000);
            fleet.fabric.isolate("e1", [FIRST, SECOND], true);
            const revision = await fleet.change(FIRST, WITHDRAW);
            assert.equal(await fleet.measureTimeToForce(FIRST, revision, 2_000), undefined);
            assert.ok(cache.findByKey(HASH), "still in its view");
            const took = await fleet.measureTimeToForce(FIRST, revision, 6_000);
            assert.ok(took !== undefined && took <= LEASE_MS, `${took} ms`);
            assert.ok(!client.isFresh(), "it takes no new work on that view");
        });

        it("is not reported as in force by a new holder that does not know an entry yet", async () => {
            // The same fault after a change of the holder: the new holder knows no entries yet and would report every change as in force.
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(6_000);
            fleet.fabric.isolate("e1", [FIRST, SECOND], true);
            fleet.group.elect(SECOND);
            const revision = await fleet.change(SECOND, WITHDRAW);
            const took = await fleet.measureTimeToForce(SECOND, revision, 7_000);
            assert.ok(took !== undefined && took >= LEASE_MS - 2_100, `${took} ms`);
            assert.ok(!client.isFresh());
        });

        it("never comes back from a deposed holder", async () => {
            // A withdrawn key would work again for some seconds after a partition if a deposed holder served its old view without the lease,
            // or if the entry applied a view of a lower revision.
            const fleet = await new Fleet().start();
            const { cache } = fleet.startEntry("e1");
            await fleet.clock.advance(6_000);
            fleet.group.isolate(FIRST, 0);
            fleet.group.elect(SECOND);
            await fleet.change(SECOND, WITHDRAW);
            let withdrawn = false;
            for (let step = 0; step < 100; step++) {
                await fleet.clock.advance(100);
                const works = cache.findByKey(HASH) !== undefined;
                assert.ok(!(withdrawn && works), "came back");
                withdrawn ||= !works;
                if (step === 30) fleet.fabric.blackholeConnections("e1", SECOND);
            }
            assert.ok(withdrawn);
        });
    });

    describe("command", () => {
        const begin = {
            kind: "call.begin",
            workspace: "school",
            key: "i1",
            digest: "d",
            request: "r1",
            host: "e1",
            incarnation: "1",
        } as never;

        it("finds the holder and survives its change", async () => {
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(500);
            fleet.group.elect(SECOND);
            const reply = await fleet.clock.runUntil(client.command<BeginCallResult>(begin, 2_000), 3_000);
            assert.equal(reply.unsafeCoerce().state, "opened");
        });

        it("returns the first result after a lost reply", async () => {
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(500);
            fleet.group.proposalOutcome = "lose-answer";
            const pendingReply = client.command<BeginCallResult>(begin, 2_000);
            await fleet.clock.advance(200);
            fleet.group.proposalOutcome = "apply";
            assert.equal((await fleet.clock.runUntil(pendingReply, 3_000)).unsafeCoerce().state, "opened");
        });

        it("reports whether it may have been applied when no reply arrives", async () => {
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(500);
            fleet.group.proposalOutcome = "lose";
            const lost = await fleet.clock.runUntil(client.command(begin, 1_000), 3_000);
            assert.equal(lost.swap().unsafeCoerce().mayHaveApplied, true);
        });
    });

    describe("the freshness lease", () => {
        it("is counted from the pull, not from the reply", async () => {
            // The entry counts the lease from when it sent the pull. Counted from the reply, which may arrive a second later, the lease
            // would end later than the holder can know, and the entry would accept a withdrawn key after the change is reported as in
            // force.
            const clock = new VirtualClock();
            let pullCount = 0;
            const link = {
                isOpen: true,
                peer: undefined,
                notify: () => undefined,
                call: async () => {
                    await clock.sleep(pullCount++ === 0 ? 1_000 : 60_000);
                    return Right({ leaseMs: LEASE_MS, entries: [] });
                },
            };
            const self = { host: "e1", incarnation: "1", zone: "vogar", peerAddress: "e1:1" };
            const options = { links: [link], clock, random: new SeededRandom(1), self, cache: new ViewCache() };
            const client = new ControlClient(options);
            void client.run(new AbortController().signal);
            await clock.advance(LEASE_MS - 1);
            assert.ok(client.isFresh());
            await clock.advance(1);
            assert.ok(!client.isFresh());
        });
    });

    describe("an entry without a fresh view for some seconds", () => {
        it("counts as forgotten until others have had time to hear of it again", async () => {
            // Failure: an entry that was cut off uses its share of a limit that the others divide among themselves.
            const clock = new VirtualClock();
            let isCut = false;
            const link = {
                isOpen: true,
                peer: undefined,
                notify: () => undefined,
                call: async () => {
                    await clock.sleep(500);
                    return isCut
                        ? Left(new PeerError("unreachable", false, "cut off"))
                        : Right({ leaseMs: LEASE_MS, entries: [] });
                },
            };
            const self = { host: "e1", incarnation: "1", zone: "vogar", peerAddress: "e1:1" };
            const options = { links: [link], clock, random: new SeededRandom(1), self, cache: new ViewCache() };
            const client = new ControlClient(options);
            void client.run(new AbortController().signal);
            await clock.advance(2_000);
            assert.ok(!client.mayBeForgotten());
            isCut = true;
            await clock.advance(LEASE_MS + 4_000);
            assert.ok(!client.mayBeForgotten());
            await clock.advance(2_000);
            assert.ok(client.mayBeForgotten());
            isCut = false;
            await clock.advance(9_500);
            assert.ok(client.isFresh() && client.mayBeForgotten());
            await clock.advance(3_000);
            assert.ok(!client.mayBeForgotten());
        });
    });

    describe("entries", () => {
        it("stay known to each other when the holder changes, except one that has gone", async () => {
            // A new holder's list of entries is incomplete at first. An entry that applied it would assume that it is the only one, so that
            // one pool gets several queues and a lower tier runs first.
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            fleet.startEntry("e2");
            fleet.startEntry("e3");
            await fleet.clock.advance(6_000);
            fleet.fabric.isolate("e3", [FIRST, SECOND], true);
            fleet.group.elect(SECOND);
            for (let step = 0; step < 300; step++) {
                await fleet.clock.advance(10);
                const hosts = client.entries.map(entry => entry.host);
                assert.ok(hosts.includes("e1") && hosts.includes("e2"), `${hosts}`);
            }
            await fleet.clock.advance(6_000);
            assert.deepEqual(client.entries.map(entry => entry.host).sort(), ["e1", "e2"]);
        });

        it("receive the holder's list after any joins, losses, drains and changes of the holder", async () => {
            const fleet = await new Fleet().start();
            const random = new SeededRandom(5);
            const observer = fleet.startEntry("e0");
            const clients = new Map([["e0", observer.client]]);
            const isolated = new Set<string>();
            for (let step = 0; step < 120; step++) {
                const host = `e${random.integer(1, 8)}`;
                const action = random.pick(["join", "cut", "cut", "drain", "elect"]);
                if (action === "join" && !clients.has(host)) clients.set(host, fleet.startEntry(host).client);
                if (action === "cut" && clients.has(host)) {
                    fleet.fabric.isolate(host, [FIRST, SECOND], !isolated.has(host));
                    if (!isolated.delete(host)) isolated.add(host);
                }
                if (action === "drain") clients.get(host)?.setDraining(random.next() < 0.5);
                if (action === "elect" && step % 8 === 0) fleet.group.elect(random.pick([FIRST, SECOND]));
                await fleet.clock.advance(random.between(100, 4_000));
                const { entries } = fleet.services.get(fleet.group.holder!)!;
                if (!entries.isComplete) continue;
                const list = entries.listLive().map(entry => ({ ...entry }));
                // Each entry receives the list with its next reply, at most a third of a lease later.
                await fleet.clock.advance(2_000);
                if (JSON.stringify(entries.listLive()) !== JSON.stringify(list)) continue;
                assert.deepEqual(sortByHost(observer.client.entries), sortByHost(list));
            }
        });

        it("discover each other, and that one drains", async () => {
            const fleet = await new Fleet().start();
            const one = fleet.startEntry("e1");
            const two = fleet.startEntry("e2");
            await fleet.clock.advance(3_000);
            assert.deepEqual(one.client.entries.map(entry => entry.host).sort(), ["e1", "e2"]);
            two.client.setDraining(true);
            await fleet.clock.advance(4_500);
            assert.equal(one.client.entries.find(entry => entry.host === "e2")?.draining, true);
        });
    });

    describe("an entry whose wall clock was set forward", () => {
        it("is fresh again long before its waiting pull ends", async () => {
            // Without a new pull, calls are refused for two seconds whenever a time service corrects the clock: the jump looks like sleep
            // and makes the view stale, and the pending pull waits for a change before anything renews the view.
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(1_000);
            assert.equal(client.isFresh(), true);
            fleet.clock.sleptMs += LEASE_MS;
            assert.equal(client.isFresh(), false);
            await fleet.clock.advance(200);
            assert.equal(client.isFresh(), true);
        });
    });
});

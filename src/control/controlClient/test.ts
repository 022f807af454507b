import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Right } from "purify-ts";
import { HostId, Incarnation, TemplateName, WorkspaceId } from "../../ids/index.js";
import { BeginCallResult } from "../../ledger/index.js";
import { MemoryFabric, SeededRandom, VirtualClock } from "../../ports/index.js";
import { DEFAULT_PEER_TIMING, PeerLink, PeerRouter, servePeers } from "../../wire/index.js";
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

/** A clock on a machine that seems to have slept for a while. */
class JumpingClock extends VirtualClock {
    sleptMs = 0;

    override elapsed(): number {
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

    /** How long until a change is in force, in milliseconds; undefined when it is not within the limit. */
    async timeToForce(host: HostId, revision: number, limitMs: number): Promise<number | undefined> {
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
        it("stops working on connected entries at once, and the answer says in force", async () => {
            const fleet = await new Fleet().start();
            const { client, cache } = fleet.startEntry("e1");
            await fleet.clock.advance(6_000);
            assert.ok(client.isFresh());
            assert.equal(cache.findByKey(HASH)?.id, "school");
            const revision = await fleet.change(FIRST, WITHDRAW);
            const took = await fleet.timeToForce(FIRST, revision, 6_000);
            assert.ok(took !== undefined && took <= 50, `${took} ms`);
            assert.equal(cache.findByKey(HASH), undefined);
        });

        it("is in force once an entry that is cut off has gone stale, and not before", async () => {
            // An operator withdraws a leaked key and reads "in force", and the key still works on one host.
            // That host was cut off from control. Cause: a host that does not answer is taken for one that does not matter.
            const fleet = await new Fleet().start();
            const { client, cache } = fleet.startEntry("e1");
            await fleet.clock.advance(6_000);
            fleet.fabric.isolate("e1", [FIRST, SECOND], true);
            const revision = await fleet.change(FIRST, WITHDRAW);
            assert.equal(await fleet.timeToForce(FIRST, revision, 2_000), undefined);
            assert.ok(cache.findByKey(HASH), "still in its view");
            const took = await fleet.timeToForce(FIRST, revision, 6_000);
            assert.ok(took !== undefined && took <= LEASE_MS, `${took} ms`);
            assert.ok(!client.isFresh(), "it takes no new work on that view");
        });

        it("is not called in force by a new holder that has not heard of an entry yet", async () => {
            // As above, but the holder is lost as well. The new one knows of no entries and calls everything in force.
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(6_000);
            fleet.fabric.isolate("e1", [FIRST, SECOND], true);
            fleet.group.elect(SECOND);
            const revision = await fleet.change(SECOND, WITHDRAW);
            const took = await fleet.timeToForce(SECOND, revision, 7_000);
            assert.ok(took !== undefined && took >= LEASE_MS - 2_100, `${took} ms`);
            assert.ok(!client.isFresh());
        });

        it("never comes back from a deposed holder", async () => {
            // A withdrawn key works again for some seconds after a partition. The entry was given the view of the old
            // holder, which had not heard of the withdrawal. Cause: views served without the lease, or taken backwards.
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
                if (step === 30) fleet.fabric.forget("e1", SECOND);
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

        it("gets its first answer when that was lost on the way", async () => {
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(500);
            fleet.group.fate = "lose-answer";
            const asked = client.command<BeginCallResult>(begin, 2_000);
            await fleet.clock.advance(200);
            fleet.group.fate = "apply";
            assert.equal((await fleet.clock.runUntil(asked, 3_000)).unsafeCoerce().state, "opened");
        });

        it("says whether it may have been applied when nobody answers", async () => {
            const fleet = await new Fleet().start();
            const { client } = fleet.startEntry("e1");
            await fleet.clock.advance(500);
            fleet.group.fate = "lose";
            const lost = await fleet.clock.runUntil(client.command(begin, 1_000), 3_000);
            assert.equal(lost.swap().unsafeCoerce().mayHaveApplied, true);
        });
    });

    describe("the freshness lease", () => {
        it("runs from the moment the pull left, not from the answer", async () => {
            // A host goes on serving a withdrawn key after the operator has read "in force". The pull's answer took a second, and the
            // host counted its lease from there. Cause: a lease that starts later than the holder can know.
            const clock = new VirtualClock();
            let asked = 0;
            const link = {
                isOpen: true,
                peer: undefined,
                notify: () => undefined,
                call: async () => {
                    await clock.sleep(asked++ === 0 ? 1_000 : 60_000);
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

    describe("entries", () => {
        it("do not forget each other when the holder changes, but one that has gone", async () => {
            // After each change of the holder requests wait in several queues of one pool, and a lower tier runs first.
            // Each entry takes itself for the only one. Cause: a new holder's list of those that it has heard up to now.
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

        it("have the holder's list after any joins, losses, drains and changes of the holder", async () => {
            const fleet = await new Fleet().start();
            const random = new SeededRandom(5);
            const watcher = fleet.startEntry("e0");
            const clients = new Map([["e0", watcher.client]]);
            const cutOff = new Set<string>();
            for (let step = 0; step < 120; step++) {
                const host = `e${random.integer(1, 8)}`;
                const act = random.pick(["join", "cut", "cut", "drain", "elect"]);
                if (act === "join" && !clients.has(host)) clients.set(host, fleet.startEntry(host).client);
                if (act === "cut" && clients.has(host)) {
                    fleet.fabric.isolate(host, [FIRST, SECOND], !cutOff.has(host));
                    if (!cutOff.delete(host)) cutOff.add(host);
                }
                if (act === "drain") clients.get(host)?.setDraining(random.next() < 0.5);
                if (act === "elect" && step % 8 === 0) fleet.group.elect(random.pick([FIRST, SECOND]));
                await fleet.clock.advance(random.between(100, 4_000));
                const { entries } = fleet.services.get(fleet.group.holder!)!;
                if (!entries.isComplete) continue;
                const list = entries.listLive().map(entry => ({ ...entry }));
                // A list goes out with each entry's next answer, a third of a lease later at the latest.
                await fleet.clock.advance(2_000);
                if (JSON.stringify(entries.listLive()) !== JSON.stringify(list)) continue;
                assert.deepEqual(sortByHost(watcher.client.entries), sortByHost(list));
            }
        });

        it("learn of each other, and of one that drains", async () => {
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
            // Callers are refused for two seconds whenever a time service corrects a host's clock.
            // The jump looks like sleep, so the view counts as stale; the pull under way waits for a change that does not come.
            // Cause: nothing asks anew until that wait has ended.
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

import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { Left, Right } from "purify-ts";
import {
    ControlService,
    ControlState,
    DocumentService,
    EntryAdmin,
    EntryAdminServer,
    MemoryControlLog,
    MemoryLogGroup,
    QuarantineService,
    serveOperators,
    UnknownZoneError,
    VIEW_PULL_METHOD,
    ZoneEvacuation,
} from "../../control/index.js";
import { HostId, LogIndex, RequestFingerprint, Revision, UpstreamId } from "../../ids/index.js";
import {
    Address,
    DEFAULT_HTTP_LIMITS,
    formatAddress,
    Listener,
    NodeHttp,
    SystemClock,
    SystemRandom,
} from "../../ports/index.js";
import { QuarantineTable } from "../../quarantine/index.js";
import { ReplaceDocumentCommand, StoredDocument } from "../../routing/index.js";
import { PeerRouter } from "../../wire/index.js";
import { EvacuationTable, ZoneCommand } from "../../zone/index.js";
import { runCli } from "./index.js";

const LOOPBACK: Address = { host: "127.0.0.1", port: 0 };
const HOLDER = "control-1" as HostId;
const FOLLOWER = "control-2" as HostId;
const TEMPLATE = JSON.stringify({
    parameters: [{ name: "weight", default: 1 }],
    weight: "$weight",
    classes: [{ name: "sheet", tier: 0, firstTokenMs: 900, tokenMs: 40, maxWaitMs: 5000, guaranteedShare: 0.1 }],
    defaultClass: "sheet",
    pools: [],
    nonRepeatable: ["orders"],
});

/** Keeps the last document, without comparing versions. */
class FakeDocumentService {
    private held: StoredDocument | undefined;

    async replace({ document, source }: ReplaceDocumentCommand) {
        const revision = 9 as Revision;
        this.held = { document, source, revision };
        return Right({ state: "replaced" as const, revision });
    }

    async read() {
        return Right(this.held);
    }
}

/** Applies evacuations in the order in which they arrive; only the zone `vogar` exists. */
class FakeZoneEvacuation {
    private readonly evacuations = new EvacuationTable();
    private revision = 30;

    async order(command: ZoneCommand) {
        if (command.zone !== "vogar") return Left(new UnknownZoneError(`there is no zone ${command.zone}`));
        return Right(this.evacuations.apply(command, this.revision++));
    }

    async read() {
        return Right(this.evacuations.list());
    }
}

/** Keeps quarantines; one request is quarantined from the start. */
class FakeQuarantineService {
    private readonly table = new QuarantineTable();
    private index = 40;

    constructor() {
        const upstreams = ["u1", "u2", "u3"] as UpstreamId[];
        const fingerprints = ["5f0c7a9d"] as RequestFingerprint[];
        const crashes = upstreams.map(upstream => ({ upstream, incarnation: 1, fingerprints }));
        this.table.apply({ kind: "crash.note", crashes }, this.nextContext());
    }

    async lift(fingerprint: RequestFingerprint) {
        return Right(this.table.apply({ kind: "quarantine.lift", fingerprint }, this.nextContext()));
    }

    async read() {
        return Right(this.table.list());
    }

    private nextContext() {
        return { index: this.index++ as LogIndex, proposedAt: 0 };
    }
}

const FLEET_DOCUMENT = JSON.stringify({
    version: 7,
    routes: [],
    pools: [],
    limits: { headerBytes: 16_384, bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
});
const FILES: Record<string, string | undefined> = { "fleet.json": FLEET_DOCUMENT, "broken.json": "{" };

class FakeEntryAdmin extends EntryAdmin {
    readonly calls: string[] = [];

    async listUpstreams() {
        return [];
    }

    async listQueues() {
        return [{ pool: "drafting", tier: 0, workspace: "school", waiting: 3, oldestMs: 12 }];
    }

    async listHistograms() {
        return [];
    }

    async explain() {
        return undefined;
    }

    async drain() {
        this.calls.push("drain");
    }

    async stop() {
        this.calls.push("stop");
    }
}

const clock = new SystemClock();
const http = new NodeHttp();
const listeners: Listener[] = [];
const documentService = new FakeDocumentService() as unknown as DocumentService;
const zoneEvacuation = new FakeZoneEvacuation() as unknown as ZoneEvacuation;
const quarantineService = new FakeQuarantineService() as unknown as QuarantineService;
const logGroup = new MemoryLogGroup(clock);
const entryAdmin = new FakeEntryAdmin();
let controlAddresses = "";
let sendViewPull: () => unknown;

async function startControlHosts(): Promise<void> {
    const addresses: string[] = [];
    const logs: MemoryControlLog[] = [];
    for (const host of [HOLDER, FOLLOWER]) {
        const state = new ControlState();
        const log = logGroup.join(host, state);
        logs.push(log);
        const router = new PeerRouter();
        const service = new ControlService({ log, state, clock, router, viewLeaseMs: 2_000 });
        const context = {
            log,
            state,
            service,
            documents: documentService,
            zones: zoneEvacuation,
            quarantine: quarantineService,
            operatorAddresses: [],
        };
        const listener = await serveOperators(http, LOOPBACK, context);
        listeners.push(listener);
        addresses.push(formatAddress(listener.address));
        if (host === HOLDER) sendViewPull = () => router.find(VIEW_PULL_METHOD)!(makePullBody(), undefined as never);
    }
    logGroup.elect(HOLDER);
    const announcement = { kind: "holder.announce", host: HOLDER, operatorAddress: addresses[0] };
    assert.ok((await logs[0].propose(announcement)).isRight());
    // Only the host that is not the holder is configured, so that each command has to be redirected from it.
    controlAddresses = addresses[1];
}

let adminAddress = "";
function makePullBody() {
    const peerAddress = "127.0.0.1:7000";
    const host = { host: "entry-1", incarnation: "1", zone: "vogar", peerAddress, adminAddress };
    return { ...host, revision: 1_000, waitMs: 0, draining: false };
}

async function run(...words: string[]) {
    let output = "";
    let error = "";
    const code = await runCli(words, {
        http,
        clock,
        random: new SystemRandom(),
        variables: { SEQUOIAMUX_CONTROL: controlAddresses },
        userName: "anna",
        readFile: async path => FILES[path] ?? TEMPLATE,
        readProfiles: async () => undefined,
        writeOutput: text => void (output += text),
        writeError: text => void (error += text),
    });
    return { code, output, error };
}

describe("runCli", () => {
    before(async () => {
        await startControlHosts();
        const listener = await http.serve(LOOPBACK, DEFAULT_HTTP_LIMITS, new EntryAdminServer(entryAdmin).handler);
        listeners.push(listener);
        adminAddress = formatAddress(listener.address);
        await clock.sleep(2_100);
    });
    after(async () => {
        for (const listener of listeners) await listener.close();
    });

    describe("configuration", () => {
        it("goes from a template to a key, through a host that is not the holder", async () => {
            const put = await run("template", "put", "butcher", "--file", "t.json");
            assert.equal(put.error, "");
            assert.match(put.output, /template butcher: in-force at revision 2/);
            const create = await run("workspace", "create", "school", "--template", "butcher", "--param", "weight=2");
            assert.equal(create.error, "");
            const grant = await run("key", "grant", "school", "--json");
            const { key, keyId } = JSON.parse(grant.output) as { key: string; keyId: string; };
            assert.match(key, /^sqx_[0-9a-f]{32}$/);
            const list = await run("key", "list", "school");
            assert.ok(list.output.includes(keyId) && !list.output.includes(key));
            assert.equal((await run("--json", "key", "list", "school")).code, 0);
            const show = await run("workspace", "show", "school");
            assert.match(show.output, /weight 2, token limit none, default class sheet/);
        });

        it("names the winner of a conflict in one line", async () => {
            const lost = await run("workspace", "limit", "school", "--limit", "5", "--revision", "2");
            assert.equal(lost.code, 1);
            assert.match(
                lost.error,
                /^sequoiamux: workspace school: conflict, anna changed it first \(revision 3.*\n$/,
            );
        });
    });

    describe("the fleet document", () => {
        it("is applied as a whole and read back unchanged", async () => {
            const apply = await run("config", "apply", "fleet.json");
            assert.equal(apply.error, "");
            assert.equal(apply.output, "version 7 is in force, revision 9\n");
            assert.equal((await run("config", "read")).output, `${FLEET_DOCUMENT}\n`);
        });

        it("that is invalid is refused with one line", async () => {
            const { code, error } = await run("config", "apply", "broken.json");
            assert.equal(code, 1);
            assert.match(error, /^sequoiamux: not JSON: .*\n$/);
        });
    });

    describe("zones", () => {
        it("are evacuated, listed and restored", async () => {
            assert.equal((await run("zone", "evacuate", "vogar")).output, "zone vogar is evacuated, revision 30\n");
            assert.match((await run("zone", "evacuate", "vogar")).output, /was evacuated already/);
            assert.match((await run("zone", "list")).output, /ZONE +REVISION\nvogar +30/);
            assert.match((await run("zone", "restore", "vogar")).output, /zone vogar is restored/);
            assert.deepEqual(JSON.parse((await run("zone", "list", "--json")).output), []);
        });

        it("that are unknown are refused with one line", async () => {
            const { code, error } = await run("zone", "evacuate", "vogra");
            assert.equal(code, 1);
            assert.match(error, /there is no zone vogra/);
        });
    });

    describe("quarantined requests", () => {
        it("are listed and lifted", async () => {
            const list = await run("quarantine", "list");
            assert.match(list.output, /^FINGERPRINT +UNTIL +ROUNDS +CRASHED\n/);
            assert.match(list.output, /5f0c7a9d +1970-01-01T01:00:00.000Z +1 +u1\/1 u2\/1 u3\/1/);
            const lift = await run("quarantine", "lift", "5f0c7a9d");
            assert.equal(lift.output, "request 5f0c7a9d may run again, revision 41\n");
            assert.match((await run("quarantine", "lift", "5f0c7a9d")).output, /was not quarantined/);
            assert.deepEqual(JSON.parse((await run("quarantine", "list", "--json")).output), []);
        });
    });

    describe("entries", () => {
        it("are called at the addresses that the holder lists", async () => {
            await sendViewPull();
            const queues = await run("queues");
            assert.match(queues.output, /entry-1 +drafting +0 +school +3 +12/);
            await sendViewPull();
            assert.equal((await run("host", "drain", "entry-1")).code, 0);
            assert.deepEqual(entryAdmin.calls, ["drain"]);
            await sendViewPull();
            const missing = await run("explain", "r1");
            assert.match(missing.error, /this entry knows no request r1/);
        });
    });

    describe("a wrong command line", () => {
        it("leads to exit code 2 and one line", async () => {
            const wrong = [["workspace", "create", "x"], ["nonsense"], ["queues", "--color"], ["key", "grant"]];
            for (const words of wrong) {
                const { code, error } = await run(...words);
                assert.equal(code, 2, words.join(" "));
                assert.equal(error.trim().split("\n").length, 1);
            }
        });
    });
});

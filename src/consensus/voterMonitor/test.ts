import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RecordingLogger, ReplicaFleet } from "../../faultInjection/index.js";
import { SeededRandom } from "../../ports/index.js";

async function startFleet() {
    const logger = new RecordingLogger();
    const options = { targetVoters: 3, loggerOf: () => logger };
    const fleet = new ReplicaFleet(new SeededRandom(1), ["a", "b", "c"], options);
    await fleet.startAll();
    await fleet.advanceUntil(() => fleet.hasFullMembership());
    const [lost] = [...fleet.hosts.keys()].filter(name => name !== fleet.holder()!.name);
    return { fleet, logger, lost };
}

describe("VoterMonitor", () => {
    describe("a voter that is gone", () => {
        it("is named by the leader until it is back", async () => {
            // Guards against a shortage of voters that operators learn of only by the loss of the service.
            const { fleet, logger, lost } = await startFleet();
            assert.deepEqual(logger.list("voters-missing"), []);
            fleet.crash(lost);
            await fleet.advance(8_000);
            const [{ wanted, counted, answering, unresponsive }] = logger.list("voters-missing");
            assert.deepEqual({ wanted, counted, answering }, { wanted: 3, counted: 3, answering: 2 });
            assert.match(String(unresponsive), new RegExp(`^${lost} \\d+ ms$`));
            assert.deepEqual(logger.list("voters-complete"), []);
            await fleet.start(lost);
            await fleet.advance(5_000);
            assert.equal(logger.list("voters-complete").length, 1);
        });

        it("is named again while it stays away", async () => {
            const { fleet, logger, lost } = await startFleet();
            fleet.crash(lost);
            await fleet.advance(40_000);
            const count = logger.list("voters-missing").length;
            assert.ok(count >= 3 && count <= 4, String(count));
        });

        it("is named with its silence when a host that joined takes its place", async () => {
            // Guards against a removal whose reason can't be told from the logs.
            const { fleet, logger, lost } = await startFleet();
            fleet.crash(lost);
            fleet.addHost("x");
            await fleet.start("x");
            await fleet.advanceUntil(() => logger.list("member-removed").length > 0);
            const [{ memberHost, reason, replacedBy, unresponsive }] = logger.list("member-removed");
            assert.deepEqual([memberHost, reason, replacedBy], [lost, "unresponsive", "x"]);
            assert.match(String(unresponsive), new RegExp(`^${lost} \\d+ ms$`));
        });
    });
});

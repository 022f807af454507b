import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet } from "../../faultInjection/index.js";
import { makeDocument } from "../../routing/index.js";

describe("the fleet document", () => {
    const current = { fleet: undefined as RoutedFleet | undefined };

    async function startFleet(): Promise<RoutedFleet> {
        const started = new RoutedFleet({ entries: 1, upstreams: [{}] });
        current.fleet = started;
        await started.start(makeDocument({ version: 1 }));
        return started;
    }

    /** Version of the document that a control process reads; undefined when it can't confirm it. */
    async function read(fleet: RoutedFleet, number: number): Promise<number | undefined> {
        const held = await fleet.run(fleet.controls[number]!.routing!.documents.read());
        return held.toMaybe().extract()?.document.version;
    }

    afterEach(() => current.fleet?.close());

    it("is accepted and read at any control process", async () => {
        const fleet = await startFleet();
        for (const number of [0, 1, 2, 3, 4]) {
            assert.equal(await fleet.replaceDocument(makeDocument({ version: 10 + number }), number), true);
            for (const reader of [0, 1, 2, 3, 4]) assert.equal(await read(fleet, reader), 10 + number);
        }
    });

    it("is not read by a partitioned host", async () => {
        // The partitioned host's own copy looks valid, so an operator who asks this host would read an outdated document after the others
        // have accepted a new one.
        const fleet = await startFleet();
        const others = [1, 2, 3, 4].map(number => `10.0.0.${number}`);
        fleet.fabric.isolate("10.0.0.5", others, true);
        await fleet.advance(4_000);
        const controlIndex = [0, 1, 2, 3].find(number => number === fleet.holder()) ?? 0;
        assert.equal(await fleet.replaceDocument(makeDocument({ version: 2 }), controlIndex), true);
        assert.equal(await read(fleet, 4), undefined);
        assert.equal(await read(fleet, controlIndex), 2);
    });

    it("survives the loss of two disks right after its acknowledgement, while all others lose power", async () => {
        // An acknowledged document could be lost when two hosts come back with empty disks and the rest after a power cut: a majority of
        // those two and of one that had not received the document would restore the old one.
        const fleet = await startFleet();
        assert.equal(await fleet.replaceDocument(makeDocument({ version: 2 }), 1), true);
        for (const number of [0, 1, 2, 3, 4]) await fleet.killControl(number);
        fleet.wipeDisk(0);
        fleet.wipeDisk(1);
        for (const number of [0, 1, 2, 3, 4]) await fleet.run(fleet.startControl(number));
        await fleet.advance(10_000);
        assert.equal(await read(fleet, 3), 2);
        assert.equal(fleet.controls[fleet.holder()]!.log.committedConfiguration().members.length, 5);
    });

    it("is not accepted before all voters have joined the log", async () => {
        const fleet = new RoutedFleet({ entries: 0, upstreams: [], controls: 5 });
        current.fleet = fleet;
        for (const number of [0, 1, 2]) {
            fleet.disks.push(...(number === 0 ? [0, 1, 2, 3, 4].map(() => fleet.makeDisk()) : []));
            await fleet.run(fleet.startControl(number, true));
        }
        await fleet.advance(5_000);
        assert.equal(await fleet.replaceDocument(makeDocument(), 0), false);
        for (const number of [3, 4]) await fleet.run(fleet.startControl(number));
        await fleet.advance(5_000);
        assert.equal(await fleet.replaceDocument(makeDocument(), 0), true);
    });

    it("keeps its voters when hosts are replaced by new ones under other names", async () => {
        // Control hosts are replaced by empty ones at other addresses. If the old ones still counted as voters, most voters would be gone
        // at some point and no change could be committed.
        const fleet = await startFleet();
        await fleet.killControl(4);
        fleet.disks.push(fleet.makeDisk());
        await fleet.run(fleet.startControl(5));
        await fleet.advance(6_000);
        const holder = fleet.controls[fleet.holder()]!;
        const hosts = holder.log.committedConfiguration().members.map(({ host, role }) => `${host} ${role}`);
        assert.deepEqual(hosts.sort(), [0, 1, 2, 3, 5].map(number => `control-${number} voter`));
        assert.equal(await fleet.replaceDocument(makeDocument({ version: 2 }), 5), true);
    });
});

import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { RoutedFleet } from "../../faultInjection/index.js";
import { makeDocument } from "../../routing/index.js";

describe("the fleet document", () => {
    const fleet = { running: undefined as RoutedFleet | undefined };

    async function startFleet(): Promise<RoutedFleet> {
        const started = new RoutedFleet({ entries: 1, upstreams: [{}] });
        fleet.running = started;
        await started.start(makeDocument({ version: 1 }));
        return started;
    }

    /** The version that a control process reads; undefined when it can't be sure. */
    async function read(running: RoutedFleet, number: number): Promise<number | undefined> {
        const held = await running.run(running.controls[number]!.routing!.documents.read());
        return held.toMaybe().extract()?.document.version;
    }

    afterEach(() => fleet.running?.close());

    it("is taken and read at any control process", async () => {
        const running = await startFleet();
        for (const number of [0, 1, 2, 3, 4]) {
            assert.equal(await running.replace(makeDocument({ version: 10 + number }), number), true);
            for (const reader of [0, 1, 2, 3, 4]) assert.equal(await read(running, reader), 10 + number);
        }
    });

    it("is not read by a host that is cut off", async () => {
        // An operator reads an old document. The host that it asks was cut off while a new one was accepted, and its own copy looks
        // as good as ever.
        const running = await startFleet();
        const others = [1, 2, 3, 4].map(number => `10.0.0.${number}`);
        running.fabric.isolate("10.0.0.5", others, true);
        await running.pass(4_000);
        const through = [0, 1, 2, 3].find(number => number === running.holder()) ?? 0;
        assert.equal(await running.replace(makeDocument({ version: 2 }), through), true);
        assert.equal(await read(running, 4), undefined);
        assert.equal(await read(running, through), 2);
    });

    it("outlives the loss of two disks in the moment after its acknowledgement, while all others lose power", async () => {
        // The operator was told that the document is in force. Two hosts come back with empty disks, the rest after a power
        // cut; a majority made of those two and of one that had not got it yet would bring the old document back.
        const running = await startFleet();
        assert.equal(await running.replace(makeDocument({ version: 2 }), 1), true);
        for (const number of [0, 1, 2, 3, 4]) await running.killControl(number);
        running.wipeDisk(0);
        running.wipeDisk(1);
        for (const number of [0, 1, 2, 3, 4]) await running.run(running.startControl(number));
        await running.pass(10_000);
        assert.equal(await read(running, 3), 2);
        assert.equal(running.controls[running.holder()]!.log.committedConfiguration().members.length, 5);
    });

    it("is not taken before all voters keep the log", async () => {
        const running = new RoutedFleet({ entries: 0, upstreams: [], controls: 5 });
        fleet.running = running;
        for (const number of [0, 1, 2]) {
            running.disks.push(...(number === 0 ? [0, 1, 2, 3, 4].map(() => running.makeDisk()) : []));
            await running.run(running.startControl(number, true));
        }
        await running.pass(5_000);
        assert.equal(await running.replace(makeDocument(), 0), false);
        for (const number of [3, 4]) await running.run(running.startControl(number));
        await running.pass(5_000);
        assert.equal(await running.replace(makeDocument(), 0), true);
    });

    it("keeps its voters when hosts are replaced by new ones under other names", async () => {
        // Each week a control host is replaced by an empty one at another address. The log counted the old ones as voters for
        // ever, until most of the list was gone and nothing could be changed any more.
        const running = await startFleet();
        await running.killControl(4);
        running.disks.push(running.makeDisk());
        await running.run(running.startControl(5));
        await running.pass(6_000);
        const holder = running.controls[running.holder()]!;
        const hosts = holder.log.committedConfiguration().members.map(({ host, role }) => `${host} ${role}`);
        assert.deepEqual(hosts.sort(), [0, 1, 2, 3, 5].map(number => `control-${number} voter`));
        assert.equal(await running.replace(makeDocument({ version: 2 }), 5), true);
    });
});

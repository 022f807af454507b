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

    /** Version of the document that a control process reads; undefined when it can't confirm it. */
    async function read(running: RoutedFleet, number: number): Promise<number | undefined> {
        const held = await running.run(running.controls[number]!.routing!.documents.read());
        return held.toMaybe().extract()?.document.version;
    }

    afterEach(() => fleet.running?.close());

    it("is accepted and read at any control process", async () => {
        const running = await startFleet();
        for (const number of [0, 1, 2, 3, 4]) {
            assert.equal(await running.replace(makeDocument({ version: 10 + number }), number), true);
            for (const reader of [0, 1, 2, 3, 4]) assert.equal(await read(running, reader), 10 + number);
        }
    });

    it("is not read by a partitioned host", async () => {
        // Guards against an operator reading an outdated document from a host that was partitioned while a new one was accepted.
        const running = await startFleet();
        const others = [1, 2, 3, 4].map(number => `10.0.0.${number}`);
        running.fabric.isolate("10.0.0.5", others, true);
        await running.pass(4_000);
        const through = [0, 1, 2, 3].find(number => number === running.holder()) ?? 0;
        assert.equal(await running.replace(makeDocument({ version: 2 }), through), true);
        assert.equal(await read(running, 4), undefined);
        assert.equal(await read(running, through), 2);
    });

    it("survives the loss of two disks right after its acknowledgement, while all others lose power", async () => {
        // Guards against an acknowledged document that is lost: two hosts come back with empty disks and the rest after a power cut. A
        // majority of those two and of one that had not received the document would restore the old one.
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

    it("is not accepted before all voters have joined the log", async () => {
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
        // Guards against voters that are never removed: when control hosts are replaced by empty ones at other addresses and the old ones
        // still count as voters, most of the voters are gone at some point and no change can be committed.
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

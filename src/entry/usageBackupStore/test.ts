import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Either, Left, Right } from "purify-ts";
import { UsageAck } from "../../control/index.js";
import { VirtualClock } from "../../ports/index.js";
import { UsageReport } from "../../usage/index.js";
import { PeerChannel, PeerError, PeerRouter } from "../../wire/index.js";
import { USAGE_BACKUP_METHODS, UsageBackupStore } from "./index.js";

const RUN = { host: "entry-1", incarnation: "1" };
const REPORT: UsageReport = { ...RUN, after: 2, upTo: 5, recorded: 0, windows: [], batches: [], countedAt: 1_000 };
/** Longer than the time after which a report is sent to the control processes, in milliseconds. */
const OVERDUE_MS = 3_100;

/** A control process that acknowledges each report. */
class FakeControl {
    readonly reports: UsageReport[] = [];
    isReachable = true;

    constructor(private readonly storeId: string) {}

    async call(_method: string, body: unknown): Promise<Either<PeerError, unknown>> {
        if (!this.isReachable) return Left(new PeerError("unreachable", false, ""));
        const report = body as UsageReport;
        this.reports.push(report);
        const ack: UsageAck = {
            storeId: this.storeId,
            isVoter: true,
            voters: 3,
            position: report.upTo,
            recorded: 0,
        };
        return Right(ack);
    }
}

async function startStore() {
    const clock = new VirtualClock();
    const controls = ["a", "b", "c"].map(storeId => new FakeControl(storeId));
    const router = new PeerRouter();
    const store = new UsageBackupStore(clock, controls);
    store.addTo(router);
    void store.run(new AbortController().signal);
    const call = (method: string, body: unknown) => router.find(method)!(body, {} as PeerChannel);
    await call(USAGE_BACKUP_METHODS.hold, REPORT);
    return { clock, controls, store, call };
}

describe("UsageBackupStore", () => {
    it("sends what is not released in time to the control processes, without the progress of a run that has ended", async () => {
        const { clock, controls, store } = await startStore();
        await clock.advance(OVERDUE_MS);
        assert.deepEqual(controls.map(({ reports }) => reports.length), [1, 1, 1]);
        assert.deepEqual([controls[0].reports[0].upTo, controls[0].reports[0].countedAt], [5, undefined]);
        assert.equal(store.size, 0);
    });

    it("keeps a report until a majority of the voters has it", async () => {
        const { clock, controls, store } = await startStore();
        for (const control of controls.slice(1)) control.isReachable = false;
        await clock.advance(OVERDUE_MS);
        assert.equal(store.size, 1);
        controls[2].isReachable = true;
        await clock.advance(1_000);
        assert.equal(store.size, 0);
    });

    it("forgets a report that is released, but not a newer one", async () => {
        const { call, store } = await startStore();
        await call(USAGE_BACKUP_METHODS.release, { ...RUN, position: 4 });
        assert.equal(store.size, 1);
        await call(USAGE_BACKUP_METHODS.release, { ...RUN, position: 5 });
        assert.equal(store.size, 0);
    });
});

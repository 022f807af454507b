import { ControlCommand, ControlState } from "../../../../control/index.js";
import { IdempotencyKey, RequestId } from "../../../../ids/index.js";
import { decodeValue, encodeValue } from "../../../../wire/index.js";
import { measureHeap, ROUNDS, timeProcess } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";
import { formatWorkspaceId, SampleState } from "../_lib/sampleState.js";

const RECORD_COUNTS = [5_000, 10_000, 20_000, 40_000];
const WORKSPACE_COUNT = 1_000;
const SMALL_ANSWER_BYTES = 200;
const LARGE_ANSWER_BYTES = 16_384;
const CALLS_PER_ROUND = 500;

/**
 * Measures records of non-repeatable calls in the replicated state by their number: size, memory, and the time of a call with
 * a small and with a large answer.
 */
export class LedgerProbe extends Probe {
    readonly name = "ledger";

    async run(recorder: SlopeRecorder): Promise<void> {
        const sample = new SampleState();
        let number = 0;
        for (const count of RECORD_COUNTS) {
            while (number < count) recordCall(sample, number++);
            const packed = encodeValue(sample.state.snapshot());
            recorder.add("ledger.bytes", count, packed.length);
            recorder.add("ledger.heap", count, measureHeap(() => restore(packed)).bytes);
        }
        for (const count of RECORD_COUNTS) {
            await measureCalls("ledger.call", count, SMALL_ANSWER_BYTES, recorder);
            await measureCalls("ledger.full.call", count, LARGE_ANSWER_BYTES, recorder);
        }
    }
}

/**
 * Measures the time of one call. Large answers exceed the limit of retained answer bytes, so that each new one evicts an
 * older one.
 */
async function measureCalls(id: string, count: number, answerBytes: number, recorder: SlopeRecorder): Promise<void> {
    const sample = new SampleState();
    let number = 0;
    while (number < count) recordCall(sample, number++, answerBytes);
    for (let round = 0; round < ROUNDS; round++) {
        const { processorMs } = await timeProcess(async () => {
            for (let call = 0; call < CALLS_PER_ROUND; call++) recordCall(sample, number++, answerBytes);
        });
        recorder.add(id, count, processorMs / CALLS_PER_ROUND * 1_000);
    }
}

function recordCall(sample: SampleState, number: number, answerBytes = SMALL_ANSWER_BYTES): void {
    const call = {
        workspace: formatWorkspaceId(number % WORKSPACE_COUNT),
        key: `order-${number}-of-the-day` as IdempotencyKey,
        request: number.toString(16).padStart(32, "0") as RequestId,
    };
    const begin: ControlCommand = {
        kind: "call.begin",
        ...call,
        digest: number.toString(16).padStart(64, "0"),
        host: "north-2-entry-17",
        incarnation: "0f".repeat(16),
    };
    const answer = { status: 200, contentType: "application/json", body: new Uint8Array(answerBytes) };
    sample.apply(begin);
    sample.apply({ kind: "call.finish", ...call, outcome: "answered", answer });
}

function restore(packed: Uint8Array): ControlState {
    const state = new ControlState();
    state.restore(decodeValue(packed));
    return state;
}

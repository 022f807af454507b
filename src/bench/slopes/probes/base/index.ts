import { residentBytes, timeProcess } from "../../measures/index.js";
import { Probe, SlopeRecorder } from "../../probe/index.js";

/** Measures the resident memory of a role's code before it does any work, and the processor time to load it. */
export class BaseProbe extends Probe {
    readonly name: string;

    /**
     * @param role - Name of the role in the IDs of the slopes.
     * @param load - Loads the role's modules.
     */
    constructor(private readonly role: string, private readonly load: () => Promise<unknown>) {
        super();
        this.name = `base-${role}`;
    }

    async run(recorder: SlopeRecorder): Promise<void> {
        const { processorMs } = await timeProcess(this.load);
        recorder.add(`base.${this.role}.resident`, 1, residentBytes());
        recorder.add(`base.${this.role}.load`, 1, processorMs);
    }
}

const loadShared = (): Promise<unknown> =>
    Promise.all([
        import("../../../../settings/index.js"),
        import("../../../../logging/index.js"),
        import("../../../../metrics/index.js"),
    ]);

/** Probes of the roles, and of a bare Node process. */
export const BASE_PROBES: readonly BaseProbe[] = [
    new BaseProbe("node", async () => undefined),
    new BaseProbe("entry", () => Promise.all([loadShared(), import("../../../../entry/index.js")])),
    new BaseProbe("control", () => Promise.all([loadShared(), import("../../../../control/index.js")])),
];

import { WorkspaceView } from "../../control/index.js";

/** Says whether a workspace may still spend tokens in the present usage window. */
export abstract class SpendGate {
    /**
     * Takes tokens for a request.
     *
     * @param workspace - Whose limit counts.
     * @param tokens - Prompt tokens and the most that the answer may have.
     * @returns False when the limit does not allow it.
     */
    abstract take(workspace: WorkspaceView, tokens: number): Promise<boolean>;

    /** Gives back what a request did not use. */
    abstract giveBack(workspace: WorkspaceView, tokens: number): void;
}

/** Lets everything pass. */
export class OpenSpendGate extends SpendGate {
    async take(): Promise<boolean> {
        return true;
    }

    giveBack(): void {
        // Nothing was taken.
    }
}

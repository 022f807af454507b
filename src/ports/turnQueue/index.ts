/** Number of tasks that run before the event loop handles other events. */
const TASKS_PER_TURN = 16;

/** A task in small steps. */
export interface SteppedTask {
    /** Does one step. Returns whether more are left. */
    step(): boolean;
}

/**
 * Runs the steps of many tasks by turns, with other events of the event loop in between: no task keeps the loop from the others.
 *
 * @example
 * const queue = new TurnQueue();
 * queue.add(task);
 */
export class TurnQueue {
    private waiting: SteppedTask[] = [];
    private isScheduled = false;

    /** @param schedule - Calls back in a later turn of the event loop. */
    constructor(private readonly schedule: (callback: () => void) => void = setImmediate) {}

    /** Adds a task at the end. It must not be waiting already. */
    add(task: SteppedTask): void {
        this.waiting.push(task);
        this.scheduleTurn();
    }

    private scheduleTurn(): void {
        if (this.isScheduled) return;
        this.isScheduled = true;
        this.schedule(() => this.runTurn());
    }

    private runTurn(): void {
        this.isScheduled = false;
        for (const task of this.waiting.splice(0, TASKS_PER_TURN)) {
            if (task.step()) this.waiting.push(task);
        }
        if (this.waiting.length > 0) this.scheduleTurn();
    }
}

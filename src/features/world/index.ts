import { After, setDefaultTimeout, setWorldConstructor } from "@cucumber/cucumber";
import { expectedAnswer } from "../../emulator/index.js";
import { CallerResult, ChatCall, sendChat, sendServiceCall } from "./caller.js";
import { deployWorkspaces, keyOf } from "./deployment.js";
import { CALLER_HOST, MemoryFleet, MemoryFleetLayout } from "./memoryFleet.js";

/** A chat that a scenario has sent. */
export interface SentChat {
    readonly workspace: string;
    /** Length of the expected answer. */
    readonly tokens: number;
    /** Virtual times at which text arrived, in milliseconds. */
    readonly arrivals: number[];
    /** The complete text that the engine must produce for the prompt. */
    readonly expected: string;
    readonly result: Promise<CallerResult>;
    readonly abort: AbortController;
    /** The text received so far. */
    received: string;
}

/** An order that a scenario has sent. */
export interface SentOrder {
    readonly text: string;
    readonly result: Promise<CallerResult>;
}

const SETTLE_TIMEOUT_MS = 300_000;
const STEP_TIMEOUT_MS = 600_000;
const CHAT_INTERVAL_MS = 200;
const MAX_CHATS = 1_000;

/** State that the steps of one scenario share: a fleet in memory and the requests sent to it. */
export class FleetWorld {
    fleet!: MemoryFleet;
    readonly chats: SentChat[] = [];
    readonly orders: SentOrder[] = [];
    /** For each planned stop, whether it interrupted no request. */
    readonly stopResults: boolean[] = [];
    /** Time until the last configuration change was in force everywhere, in milliseconds. */
    inForceMs = Number.NaN;
    private nextPromptNumber = 1;

    async startFleet(layout: Partial<MemoryFleetLayout>): Promise<void> {
        this.fleet = new MemoryFleet(layout);
        await this.fleet.start();
    }

    async deployWorkspaces(workspaces: readonly string[]): Promise<void> {
        await deployWorkspaces(this.fleet, workspaces);
    }

    /** Sends a chat whose answer has `tokens` tokens, without waiting for it. `entry` counts from 1. */
    sendChat(workspace: string, tokens: number, entry: number, overrides: Partial<ChatCall> = {}): SentChat {
        const prompt = `request ${this.nextPromptNumber++} of ${workspace} [tokens=${tokens}]`;
        const abort = new AbortController();
        const chat: SentChat = {
            workspace,
            tokens,
            arrivals: [],
            expected: expectedAnswer([{ role: "user", content: prompt }], tokens),
            abort,
            received: "",
            result: sendChat(this.fleet.web.http(CALLER_HOST), this.fleet.entryAddress(entry - 1), {
                key: keyOf(workspace),
                model: "draft",
                prompt,
                signal: abort.signal,
                onText: text => {
                    chat.received = text;
                    chat.arrivals.push(this.fleet.clock.monotonic());
                },
                ...overrides,
            }),
        };
        this.chats.push(chat);
        return chat;
    }

    /** Sends an order, which must not run twice, without waiting for its response. `entry` counts from 1. */
    sendOrder(workspace: string, text: string, idempotencyKey: string | undefined, entry: number): SentOrder {
        const order: SentOrder = {
            text,
            result: sendServiceCall(this.fleet.web.http(CALLER_HOST), this.fleet.entryAddress(entry - 1), {
                key: keyOf(workspace),
                service: "orders",
                path: "/book",
                body: text,
                idempotencyKey,
            }),
        };
        this.orders.push(order);
        return order;
    }

    /** Sends chats of both workspaces to the running entries in turn. */
    sendChatsRoundRobin(count: number, tokens: number): SentChat[] {
        const entries = this.fleet.entryNumbers().filter(number => this.fleet.entries[number]);
        return Array.from({ length: count }, (_, index) => {
            const workspace = index % 2 === 0 ? "hotel" : "depot";
            return this.sendChat(workspace, tokens, entries[index % entries.length] + 1);
        });
    }

    /** Sends a chat every `CHAT_INTERVAL_MS` to the entries that are ready, as a load balancer does, until the work is done. */
    async sendChatsDuring<Value>(work: Promise<Value>): Promise<Value> {
        let done = false;
        const markDone = (): void => {
            done = true;
        };
        work.then(markDone, markDone);
        for (let sent = 0; !done && sent < MAX_CHATS; sent++) {
            this.sendToReadyEntry(sent);
            await this.fleet.advance(CHAT_INTERVAL_MS);
        }
        return this.settle(work);
    }

    private sendToReadyEntry(index: number): void {
        const readyEntries = this.fleet.entryNumbers().filter(number => {
            const entry = this.fleet.entries[number];
            return entry && !entry.isDraining && entry.control.isFresh();
        });
        if (readyEntries.length === 0) return;
        this.sendChat(
            index % 2 === 0 ? "hotel" : "depot",
            10 + index % 20,
            readyEntries[index % readyEntries.length] + 1,
        );
    }

    /** Advances virtual time until the work is done. */
    settle<Value>(work: Promise<Value>): Promise<Value> {
        return this.fleet.run(work, SETTLE_TIMEOUT_MS);
    }

    chatResults(): Promise<CallerResult[]> {
        return this.settle(Promise.all(this.chats.map(chat => chat.result)));
    }

    orderResults(): Promise<CallerResult[]> {
        return this.settle(Promise.all(this.orders.map(order => order.result)));
    }
}

setWorldConstructor(FleetWorld);
// Steps are limited in virtual time. This wall-clock timeout only ends a step that hangs, so that a busy machine fails no scenario.
setDefaultTimeout(STEP_TIMEOUT_MS);

After(async function(this: FleetWorld) {
    // A scenario that starts operating-system processes has no fleet in memory.
    await (this.fleet as MemoryFleet | undefined)?.close();
});

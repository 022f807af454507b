import { After, setDefaultTimeout, setWorldConstructor } from "@cucumber/cucumber";
import { expectedAnswer } from "../../emulator/index.js";
import { CallerResult, ChatCall, sendChat, sendService } from "./caller.js";
import { deploy, keyOf } from "./deployment.js";
import { CALLER_HOST, FleetLayout, MemoryFleet } from "./memoryFleet.js";

/** A chat that a scenario has sent. */
export interface SentChat {
    readonly workspace: string;
    readonly tokens: number;
    /** Virtual times at which text came, in milliseconds. */
    readonly arrivals: number[];
    readonly expected: string;
    readonly result: Promise<CallerResult>;
    readonly abort: AbortController;
    /** What has come so far. */
    received: string;
}

/** An order that a scenario has sent. */
export interface SentOrder {
    readonly text: string;
    readonly result: Promise<CallerResult>;
}

const LONG_MS = 300_000;
const HUNG_STEP_MS = 600_000;
const CHAT_EVERY_MS = 200;
const MOST_CHATS = 1_000;

/** What the steps of one scenario share. */
export class FleetWorld {
    fleet!: MemoryFleet;
    readonly chats: SentChat[] = [];
    readonly orders: SentOrder[] = [];
    /** Whether each planned stop cut no work. */
    readonly stops: boolean[] = [];
    /** How long the last change took until it was in force everywhere, in milliseconds. */
    inForceMs = Number.NaN;
    private nextPrompt = 1;

    async startFleet(layout: Partial<FleetLayout>): Promise<void> {
        this.fleet = new MemoryFleet(layout);
        await this.fleet.start();
    }

    async deploy(workspaces: readonly string[]): Promise<void> {
        await deploy(this.fleet, workspaces);
    }

    /** Sends a chat whose answer has this many tokens; goes on without waiting for it. */
    sendChat(workspace: string, tokens: number, entry: number, more: Partial<ChatCall> = {}): SentChat {
        const prompt = `request ${this.nextPrompt++} of ${workspace} [tokens=${tokens}]`;
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
                ...more,
            }),
        };
        this.chats.push(chat);
        return chat;
    }

    /** Sends an order that must not run twice; goes on without waiting for its answer. */
    sendOrder(workspace: string, text: string, idempotencyKey: string | undefined, entry: number): SentOrder {
        const order: SentOrder = {
            text,
            result: sendService(this.fleet.web.http(CALLER_HOST), this.fleet.entryAddress(entry - 1), {
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

    /** Sends chats to all entries in turn, of both workspaces. */
    spreadChats(count: number, tokens: number): SentChat[] {
        const entries = this.fleet.entryNumbers().filter(number => this.fleet.entries[number]);
        return Array.from({ length: count }, (_, index) => {
            const workspace = index % 2 === 0 ? "hotel" : "depot";
            return this.sendChat(workspace, tokens, entries[index % entries.length] + 1);
        });
    }

    /** Sends a chat every 200 ms to the entries that are ready, as a balancer does, until the work is done. */
    async sendChatsDuring<Value>(work: Promise<Value>): Promise<Value> {
        let done = false;
        const mark = (): void => {
            done = true;
        };
        work.then(mark, mark);
        for (let sent = 0; !done && sent < MOST_CHATS; sent++) {
            this.sendToReadyEntry(sent);
            await this.fleet.pass(CHAT_EVERY_MS);
        }
        return this.settle(work);
    }

    private sendToReadyEntry(turn: number): void {
        const ready = this.fleet.entryNumbers().filter(number => {
            const entry = this.fleet.entries[number];
            return entry && !entry.isDraining && entry.control.isFresh();
        });
        if (ready.length === 0) return;
        this.sendChat(turn % 2 === 0 ? "hotel" : "depot", 10 + turn % 20, ready[turn % ready.length] + 1);
    }

    /** Lets virtual time pass until the work is done. */
    settle<Value>(work: Promise<Value>): Promise<Value> {
        return this.fleet.run(work, LONG_MS);
    }

    chatResults(): Promise<CallerResult[]> {
        return this.settle(Promise.all(this.chats.map(chat => chat.result)));
    }

    orderResults(): Promise<CallerResult[]> {
        return this.settle(Promise.all(this.orders.map(order => order.result)));
    }
}

setWorldConstructor(FleetWorld);
// Steps end by virtual time. Wall time bounds only a step that hangs, so that a busy machine changes no verdict.
setDefaultTimeout(HUNG_STEP_MS);

After(async function(this: FleetWorld) {
    // A scenario with processes of its own has no fleet in memory.
    await (this.fleet as MemoryFleet | undefined)?.close();
});

import { initTRPC, TRPCError } from "@trpc/server";
import * as z from "zod";
import { HttpHandler } from "../../ports/index.js";
import { EntryAdmin } from "../entryAdmin/index.js";
import { createTrpcHandler } from "../trpcHttp/index.js";

interface EntryAdminContext {
    readonly admin: EntryAdmin;
}

const trpc = initTRPC.context<EntryAdminContext>().create({
    errorFormatter: ({ shape }) => ({ ...shape, data: { ...shape.data, stack: undefined } }),
});

/** The operators' API of an entry process. */
export const entryAdminRouter = trpc.router({
    upstreams: trpc.procedure.query(({ ctx }) => ctx.admin.listUpstreams()),
    queues: trpc.procedure.query(({ ctx }) => ctx.admin.listQueues()),
    histograms: trpc.procedure.query(({ ctx }) => ctx.admin.listHistograms()),
    explain: trpc.procedure.input(z.string()).query(async ({ ctx, input }) => {
        const explanation = await ctx.admin.explain(input);
        if (explanation) return explanation;
        throw new TRPCError({ code: "NOT_FOUND", message: `this entry knows no request ${input}` });
    }),
    drain: trpc.procedure.mutation(({ ctx }) => ctx.admin.drain()),
    stop: trpc.procedure.mutation(({ ctx }) => ctx.admin.stop()),
});

/** Router type for typed clients. */
export type EntryAdminRouter = typeof entryAdminRouter;

/**
 * Serves the operators' API of an entry process through a handler for any HTTP listener.
 *
 * @example
 * const server = new EntryAdminServer(admin);
 * await http.serve(address, DEFAULT_HTTP_LIMITS, server.handler);
 */
export class EntryAdminServer {
    readonly handler: HttpHandler;

    constructor(admin: EntryAdmin) {
        this.handler = createTrpcHandler(entryAdminRouter, () => ({ admin }));
    }
}

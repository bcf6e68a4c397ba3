#include "ctl/validate.h"

#include "briarreel/error.h"

#include <errno.h>
#include <json-c/json.h>
#include <string.h>

#if __has_include("briarreel/record.h")
#include "briarreel/record.h"

int validate_record(const char *kind, const char *name, const char *json, struct br_error *err)
{
	return br_record_validate(kind, name, json, err);
}

#else
/* Until the library's record module is merged, only the outer form is checked. */
int validate_record(const char *kind, const char *name, const char *json, struct br_error *err)
{
	struct json_object *root = json_tokener_parse(json);
	struct json_object *schema;
	int ret = 0;

	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "schema", &schema) ||
	    !json_object_is_type(schema, json_type_int))
		ret = br_error_set(err, -EINVAL, BR_STEP_VALIDATE, NULL,
				   "%s/%s: not a JSON object with a schema number", kind, name);
	json_object_put(root);
	return ret;
}
#endif
